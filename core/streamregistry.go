package core

import (
	"slices"
	"strconv"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// registryStagger is how much later each router changes the registry than the one before, in an order that all know:
	// the first one's change saves the others theirs. maxRegistryStagger limits that in large fleets.
	registryStagger    = 10 * time.Millisecond
	maxRegistryStagger = time.Second
	// registryReadDelay is how long after it has seen a new lineage a router reads whether another one has registered it,
	// and registryReadStagger how much later each router does so than the one before.
	registryReadDelay   = 20 * time.Millisecond
	registryReadStagger = time.Millisecond
	// registryRetry is how long after the first sync that failed the next one starts. It doubles with each further failure
	// up to maxRegistryRetry.
	registryRetry    = 200 * time.Millisecond
	maxRegistryRetry = 2 * time.Second
	// registrationGrace is how long a version waits for its registration if it is the only one of its pool: callers are
	// better served by a version that the store doesn't know than by none.
	registrationGrace = time.Second
	// planInterval is how often the changes of the registry are planned while the list of the backend servers stays the same:
	// versions that are served no more are removed at some time.
	planInterval = time.Second
	// restartHold is how long after its start a router registers no version beside one that serves and that the registry
	// listed at the start. Nearly all callers whose streams were broken by a restart of all routers have taken them up by
	// then, while the registry still shows that these streams can be of one version only.
	restartHold = 3 * time.Second
	// markPeriod is how long a lineage is marked before it is removed from the registry. A router that sees it served again
	// in that time removes the mark, so that the removal fails, whenever the store carries it out.
	markPeriod = 10 * time.Second
)

// registry is this router's view of the store's registry, which lists the lineages that may have begun streams.
type registry struct {
	enabled bool
	listed  []model.Lineage // at the last sync; sorted
	marked  []model.Lineage // those of the listed ones that are to be removed
	found   []model.Lineage // at the first sync, which changes nothing
	reached bool            // some sync has succeeded
	failed  int             // number of syncs that have failed since the last one that succeeded

	last     uint64     // number of the last sync
	read     uint64     // number of the last sync that has succeeded
	running  bool       // the last sync is under way
	retryAt  model.Time // earliest start of the next sync after a failure
	lookupAt model.Time // earliest start of the next sync for streams that are looked up
	waiting  bool       // streams are looked up for which no sync has been started
	readAt   model.Time // when the registry is to be read because a lineage has appeared; 0 for not at all
	planAt   model.Time // when the changes are to be planned next

	addAt    map[model.Lineage]model.Time // when this router adds a lineage, if no other router has
	dropAt   map[model.Lineage]model.Time // when it marks or removes one
	markedAt map[model.Lineage]model.Time // when this router first read the mark of a lineage
	appeared map[model.Lineage]appearance // of the lineages that are served
	told     map[model.Lineage]bool       // another router has told since its appearance that a lineage is registered
	begun    map[model.Lineage]bool       // this router has begun streams of a lineage that wasn't registered
}

// appearance is when a lineage that is served was first seen.
type appearance struct {
	sync uint64 // number of the last sync then
	at   model.Time
}

func newRegistry() registry {
	return registry{
		addAt: map[model.Lineage]model.Time{}, dropAt: map[model.Lineage]model.Time{}, markedAt: map[model.Lineage]model.Time{}, appeared: map[model.Lineage]appearance{},
		told: map[model.Lineage]bool{}, begun: map[model.Lineage]bool{},
	}
}

// UseRegistry makes the core register lineages in the platform's store, by SyncRegistry, before they begin streams. Without
// it, what other routers know is all that there is.
func (c *Core) UseRegistry() { c.streams.registry.enabled = true }

// registered reports whether a lineage that is served may begin streams as far as the registry is concerned: it was listed
// when the registry was read after the lineage had appeared, here or by another router. An earlier list may be from before
// the lineage was removed.
func (r *registry) registered(l model.Lineage) bool {
	listed := slices.Contains(r.listed, l) && !slices.Contains(r.marked, l)
	return !r.enabled || listed && r.read > r.appeared[l].sync || r.told[l]
}

// overdue reports whether a lineage has waited for its registration for longer than registrationGrace.
func (r *registry) overdue(now model.Time, l model.Lineage) bool {
	appeared, served := r.appeared[l]
	return served && now >= appeared.at+registrationGrace
}

// recordAppeared records which lineages are served, and since when.
func (r *registry) recordAppeared(now model.Time, served []model.Lineage) {
	appeared := map[model.Lineage]appearance{}
	for _, l := range served {
		before, has := r.appeared[l]
		if !has {
			before = appearance{sync: r.last, at: now}
			delete(r.told, l)
		}
		appeared[l] = before
	}
	r.appeared = appeared
}

// planRegistryChanges determines which lineages are to be added to the registry, and which ones no stream can be of any
// more are to be removed from it.
func (c *Core) planRegistryChanges() {
	r := &c.streams.registry
	if !r.enabled || c.now < r.planAt {
		return
	}
	r.planAt = c.now + planInterval
	r.recordAppeared(c.now, c.streams.tracker.Served())
	unregistered := c.unregistered()
	for _, l := range unregistered {
		if _, planned := r.addAt[l]; !planned {
			r.readAt = c.now + registryReadDelay + time.Duration(c.registryRank(l))*registryReadStagger
		}
	}
	r.addAt = c.plannedChanges(unregistered, r.addAt)
	r.dropAt = c.plannedChanges(c.removable(), r.dropAt)
}

// unregistered returns the lineages that may begin streams, or may have begun some, and aren't registered.
func (c *Core) unregistered() []model.Lineage {
	r := &c.streams.registry
	served := c.streams.tracker.Served()
	var out []model.Lineage
	for _, seen := range c.streams.tracker.History(c.now) {
		l := seen.Lineage
		if slices.Contains(served, l) && !r.registered(l) || !slices.Contains(r.listed, l) {
			out = append(out, l)
		}
	}
	return out
}

// removable returns the lineages of the registry that no stream can be of any more, if this router can tell.
func (c *Core) removable() []model.Lineage {
	if !c.listIsCurrent() {
		return nil
	}
	return c.streams.tracker.Retired(c.now, c.streams.registry.listed)
}

// plannedChanges returns when this router changes the entries of some lineages, if no other router has until then. Those
// planned before keep their time.
func (c *Core) plannedChanges(lineages []model.Lineage, before map[model.Lineage]model.Time) map[model.Lineage]model.Time {
	out := map[model.Lineage]model.Time{}
	for _, l := range lineages {
		at, planned := before[l]
		if !planned {
			at = c.now + min(time.Duration(c.registryRank(l))*registryStagger, maxRegistryStagger)
		}
		out[l] = at
	}
	return out
}

// addDue returns when this router adds a lineage that it is to add.
func (c *Core) addDue(l model.Lineage) model.Time {
	at := c.streams.registry.addAt[l]
	if c.servesRegisteredOther(l) {
		return max(at, c.streams.started+restartHold)
	}
	return at
}

// dropDue returns when this router marks a lineage that it is to remove, or removes it if it is marked.
func (c *Core) dropDue(l model.Lineage) model.Time {
	r := &c.streams.registry
	if !slices.Contains(r.marked, l) {
		return r.dropAt[l]
	}
	return max(r.dropAt[l], r.markedAt[l]+markPeriod)
}

// servesRegisteredOther reports whether another lineage of the same pool was registered when this router started, and gets
// new requests.
func (c *Core) servesRegisteredOther(l model.Lineage) bool {
	for _, other := range c.streams.registry.found {
		if other != l && other.Pool == l.Pool && c.serves(other) {
			return true
		}
	}
	return false
}

// registryRank returns the number of live routers that change the registry for a lineage before this one.
func (c *Core) registryRank(l model.Lineage) int {
	topic := strconv.FormatUint(uint64(l.ID()), 16)
	own := model.Rendezvous(c.members.Self().Name, topic)
	before := 0
	for _, name := range c.members.Names() {
		if c.members.Get(name).Alive() && model.Rendezvous(name, topic) > own {
			before++
		}
	}
	return before
}

// nextSync returns when the registry is to be read or changed next.
func (c *Core) nextSync() model.Time {
	r := &c.streams.registry
	if !r.enabled || r.running {
		return never
	}
	wanted := never
	if !r.reached && len(r.appeared) > 0 {
		wanted = c.streams.started
	}
	if r.waiting {
		wanted = min(wanted, r.lookupAt)
	}
	if r.readAt > 0 {
		wanted = min(wanted, r.readAt)
	}
	for l := range r.addAt {
		wanted = min(wanted, c.addDue(l))
	}
	for l := range r.dropAt {
		wanted = min(wanted, c.dropDue(l))
	}
	if wanted == never {
		return never
	}
	return max(wanted, r.retryAt)
}

// nextPlan returns when the changes of the registry are to be planned next.
func (c *Core) nextPlan() model.Time {
	r := &c.streams.registry
	if !r.enabled || len(r.listed)+len(r.appeared) == 0 {
		return never
	}
	return r.planAt
}

// syncRegistry reads the registry, and changes it as far as that is due.
func (c *Core) syncRegistry() {
	c.planRegistryChanges()
	r := &c.streams.registry
	if c.now < c.nextSync() {
		return
	}
	r.last++
	r.running, r.readAt, r.waiting = true, 0, false
	for _, l := range c.streams.lookups {
		if l.registrySync == 0 {
			l.registrySync = r.last
		}
	}
	c.emit(c.syncAction())
}

// syncAction returns the next sync, with the changes that are due.
func (c *Core) syncAction() SyncRegistry {
	r := &c.streams.registry
	out := SyncRegistry{Sync: r.last}
	if !r.reached {
		return out
	}
	out.Add = c.due(c.unregistered(), r.addAt, c.addDue)
	for _, l := range c.due(c.removable(), r.dropAt, c.dropDue) {
		if slices.Contains(r.marked, l) {
			out.Remove = append(out.Remove, l)
		} else {
			out.Mark = append(out.Mark, l)
		}
	}
	return out
}

// due returns those of some lineages for which a change is planned and due.
func (c *Core) due(lineages []model.Lineage, planned map[model.Lineage]model.Time, at func(model.Lineage) model.Time) []model.Lineage {
	var out []model.Lineage
	for _, l := range lineages {
		if _, has := planned[l]; has && c.now >= at(l) {
			out = append(out, l)
		}
	}
	return out
}

// registrySynced processes the result of a sync.
func (c *Core) registrySynced(e RegistrySynced) {
	r := &c.streams.registry
	r.running, r.planAt = false, c.now
	r.lookupAt = c.now + c.lookupInterval()
	c.streams.lookupsDue = c.now
	if !e.Reached {
		r.retryAt = c.now + min(registryRetry<<min(r.failed, 8), maxRegistryRetry)
		r.failed++
		c.leaveRegistry(e.Sync)
		return
	}
	if !r.reached {
		r.found = e.Listed
	}
	r.reached, r.failed, r.read = true, 0, e.Sync
	r.listed, r.marked = e.Listed, e.Marked
	r.recordMarks(c.now)
	c.streams.tracker.MergeRegistry(c.now, e.Listed)
	c.streams.historyKnown = true
	c.confirmLookups(e.Sync)
}

// recordMarks records when this router first read the marks.
func (r *registry) recordMarks(now model.Time) {
	markedAt := map[model.Lineage]model.Time{}
	for _, l := range r.marked {
		markedAt[l] = now
		if at, has := r.markedAt[l]; has {
			markedAt[l] = at
		}
	}
	r.markedAt = markedAt
}
