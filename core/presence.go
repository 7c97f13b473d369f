package core

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// A router that tells nothing has nothing to tell, or can't be heard: the others must know
// which, and soon. So a router without news shows its relay that it is there, and relays tell,
// with their own loads, whom they hear: a digest, and the routers themselves where they have
// changed. What those have told goes before it, so that the others know as much of a router
// that is heard and tells nothing as of one that has just told.

const (
	// relayShownEvery is how often a relay tells whom it hears.
	relayShownEvery = 150 * time.Millisecond
	// shownEvery is how often another router shows its relay that it is there.
	shownEvery = 200 * time.Millisecond
	// hearsKept is how long a router counts as heard: two times that it shows itself.
	hearsKept = 2 * shownEvery
	// hearsRepeated is how often the routers heard are told though they are the same, as the
	// telling before may have been lost.
	hearsRepeated = 500 * time.Millisecond
	// hearsPart is the part of the bytes that relays may take to tell whom they hear, and again
	// to tell that these are the same as before.
	hearsPart = 0.15
	// hearsBytes is about what it takes a relay to tell that it hears the same routers as before.
	hearsBytes = 20.0
	// nameBytes is what it takes to tell of one router that it is heard.
	nameBytes = 4.0
)

// presence is the state of telling which routers are heard.
type presence struct {
	wanted bool                  // the policy in force has a use for it
	shown  model.Time            // when this router last showed itself to its relay
	heard  map[string]model.Time // routers that have told this one themselves, and when
	digest uint32                // of the routers that were last told
	listed model.Time            // when they were
	groups map[string]group      // by the router that hears them
}

// group is the routers that a router has said to hear.
type group struct {
	digest uint32
	names  []string
}

func newPresence() presence {
	return presence{heard: map[string]model.Time{}, groups: map[string]group{}}
}

// nextPresence returns when this router is to tell that it is there.
func (l *loadExchange) nextPresence() model.Time {
	switch {
	case !l.presence.wanted || len(l.plan.Relays) == 0:
		return never
	case l.link.relay == "":
		return l.told + l.relayShownEvery()
	}
	return max(l.told, l.presence.shown) + shownEvery
}

// relayShownEvery returns how often this router, a relay, tells whom it hears: less often
// where all relays together would take more than their part of the bytes.
func (l *loadExchange) relayShownEvery() time.Duration {
	return max(relayShownEvery, l.withinPart(float64(len(l.plan.Relays)+1)*hearsBytes))
}

// withinPart returns how often so many bytes may be told within a part of those allowed.
func (l *loadExchange) withinPart(bytes float64) time.Duration {
	return time.Duration(bytes / (hearsPart * l.budget.rate) * float64(time.Second))
}

// keepPresent tells the others that this router is there, where it has told nothing else.
func (c *Core) keepPresent() {
	l := &c.loads
	if c.now < l.nextPresence() {
		return
	}
	if l.link.relay == "" || len(l.presence.heard) > 0 {
		l.changed = true
		return
	}
	l.presence.shown = c.now
	for _, name := range c.toldAsRelays() {
		c.to(name).LoadsTo = wire.PassOn_PASS_ON_ALL
	}
}

// addHears adds to what this router tells of itself whom it hears, where it passes on for others
// or is a relay.
func (c *Core) addHears(own *wire.Loads) {
	p := &c.loads.presence
	if !p.wanted {
		return
	}
	heard := c.hears(own.Router)
	if c.loads.link.relay != "" && len(heard) == 1 {
		return
	}
	own.HearsDigest = digestOf(heard)
	repeated := max(hearsRepeated, c.loads.withinPart(float64(len(c.members.Names())+1)*nameBytes))
	if own.HearsDigest != p.digest || c.now >= p.listed+repeated {
		own.Hears = heard
		p.digest, p.listed = own.HearsDigest, c.now
	}
}

// hears returns the routers that this one hears itself and this one, by the hashes of their names.
func (c *Core) hears(self uint32) []uint32 {
	heard := c.loads.presence.heard
	out := []uint32{self}
	for _, name := range sortedKeys(heard) {
		if c.now > heard[name]+hearsKept {
			delete(heard, name)
			continue
		}
		out = append(out, model.HashName(name))
	}
	slices.Sort(out)
	return out
}

// digestOf returns a digest of routers, which is never 0.
func digestOf(routers []uint32) uint32 {
	var buffer []byte
	for _, r := range routers {
		buffer = binary.LittleEndian.AppendUint32(buffer, r)
	}
	return uint32(xxhash.Sum64(buffer)) | 1
}

// takeHears takes whom a router hears: what those have told it is known here.
func (c *Core) takeHears(from string, in *wire.Loads) {
	groups := c.loads.presence.groups
	if len(in.Hears) > 0 {
		groups[from] = group{digest: digestOf(in.Hears), names: c.namesOf(in.Hears)}
	}
	if in.HearsDigest == 0 || in.HearsDigest != groups[from].digest {
		return
	}
	for _, name := range groups[from].names {
		c.noteNothingNew(name)
	}
}

// noteNothingNew notes that a router, which was heard, has nothing to tell beyond what is known here.
func (c *Core) noteNothingNew(name string) {
	m := c.members.Get(name)
	switch {
	case m == nil || !c.loads.presence.wanted:
	case m.Reachable():
		c.prompt.NothingNew(c.now, name)
	default:
		c.askDead(name)
	}
}

// namesOf returns the names of the routers that are known here.
func (c *Core) namesOf(routers []uint32) []string {
	var out []string
	for _, r := range routers {
		if m := c.memberOf(r); m != nil {
			out = append(out, m.Name)
		}
	}
	return out
}

// withoutDigest leaves out that whom the tellers hear have nothing new, as news of theirs may wait.
func withoutDigest(loads []*wire.Loads) []*wire.Loads {
	var out []*wire.Loads
	for _, l := range loads {
		if l.HearsDigest != 0 {
			l = proto.Clone(l).(*wire.Loads)
			l.HearsDigest = 0
		}
		if !isEmpty(l) {
			out = append(out, l)
		}
	}
	return out
}

// holdsNews tells whether a message waits that tells more than whom its router hears.
func (q *loadQueue) holdsNews() bool {
	return slices.ContainsFunc(q.waiting, func(w *queuedLoads) bool { return hasNews(w.loads) })
}

// hasNews tells whether a message tells more than whom its router hears.
func hasNews(in *wire.Loads) bool {
	return len(in.Backends)+len(in.Parts)+len(in.Accounts)+len(in.Suspicions) > 0
}

// joinHears puts whom a router hears into its message before.
func joinHears(into, newer *wire.Loads) {
	if len(newer.Hears) > 0 || newer.HearsDigest != into.HearsDigest {
		into.Hears = newer.Hears
	}
	into.HearsDigest = newer.HearsDigest
}
