package core

import (
	"cmp"
	"slices"

	"github.com/tamarindstep/tamarindstep/core/ledger"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/model"
)

// maxOwners is the greatest number of owners of a pool to which an ingress router reports its demand.
const maxOwners = 8

// placement is the assignment of backend servers to owners, derived from the live routers and the configuration.
type placement struct {
	stale   bool
	version uint64
	owner   map[model.BackendID]string
	// reportTo holds the owners of each pool that this router reports to.
	reportTo map[model.PoolID][]string
	// ownedBy holds the backend servers of each owner.
	ownedBy map[string][]model.BackendID
}

// refreshPlacement recomputes the placement if the live routers or the configuration have changed.
func (c *Core) refreshPlacement() {
	if !c.placement.stale && c.placement.version == c.members.Version() {
		return
	}
	live := c.members.Live()
	c.placement = placement{
		version:  c.members.Version(),
		owner:    map[model.BackendID]string{},
		reportTo: map[model.PoolID][]string{},
		ownedBy:  map[string][]model.BackendID{},
	}
	c.updateTree()
	c.chooseWatchers(live)
	c.prompt.SetRouters(len(live))
	self := c.members.Self().Name
	c.prompt.SetRouterNames(self, append(slices.Clone(c.members.Names()), self), c.listed)
	c.retries.SetRouters(len(live))
	if c.config.Policy == nil || c.config.Policy.ByPrompt != nil {
		return
	}
	for _, id := range sortedKeys(c.config.Backends) {
		c.place(id, live)
	}
	for pool, owners := range c.placement.reportTo {
		c.placement.reportTo[pool] = c.nearestOwners(owners)
	}
	c.updateOwnership(live)
	c.scheduleAllReports()
}

// updateTree sets the routers of the ledger's tree. The tree is empty under a policy that doesn't order by the fleet's
// service, as it costs each router ten messages a second even if there are no requests.
func (c *Core) updateTree() {
	var order []ledger.Peer
	if c.config.Policy != nil && c.config.Policy.Owned {
		for _, m := range c.members.Running() {
			order = append(order, ledger.Peer{Name: m.Name, Boot: m.Boot})
		}
	}
	c.ledger.SetTree(c.now, order)
}

func (c *Core) place(id model.BackendID, live []*member.Member) {
	b := c.config.Backends[id]
	owner := c.members.Self().Name
	if c.config.Policy.Owned {
		owner = chooseOwner(b, live)
	}
	if owner == "" {
		return
	}
	p := &c.placement
	p.owner[id] = owner
	p.ownedBy[owner] = append(p.ownedBy[owner], id)
	if !slices.Contains(p.reportTo[b.Pool], owner) {
		p.reportTo[b.Pool] = append(p.reportTo[b.Pool], owner)
	}
}

// chooseOwner returns the owner of a backend server: the one with the highest rendezvous weight of the live routers in
// its data hall, or of all live routers if there are none in its data hall.
func chooseOwner(b Backend, live []*member.Member) string {
	best, bestNear, bestWeight := "", false, uint64(0)
	for _, m := range live {
		near := m.DataHall == b.DataHall
		weight := model.Rendezvous(m.Name, b.Name)
		better := best == "" || near && !bestNear || near == bestNear && weight > bestWeight
		if better {
			best, bestNear, bestWeight = m.Name, near, weight
		}
	}
	return best
}

// nearestOwners returns at most maxOwners owners that this router reports to: itself first, then those in its data
// hall, then the others, each group in descending order of rendezvous weight so that ingress routers spread over the
// owners.
func (c *Core) nearestOwners(owners []string) []string {
	self := c.members.Self()
	rank := func(name string) int {
		m := c.members.Get(name)
		switch {
		case name == self.Name:
			return 0
		case m != nil && m.DataHall == self.DataHall:
			return 1
		}
		return 2
	}
	slices.SortFunc(owners, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)),
			cmp.Compare(model.Rendezvous(self.Name, b), model.Rendezvous(self.Name, a)))
	})
	return owners[:min(len(owners), maxOwners)]
}

// updateOwnership starts accounting for the backend servers that this router now owns, and stops for all others.
func (c *Core) updateOwnership(live []*member.Member) {
	self := c.members.Self().Name
	owned := c.placement.ownedBy[self]
	for id := range c.backends {
		if !slices.Contains(owned, id) {
			delete(c.backends, id)
		}
	}
	clear(c.poolOrder)
	rank := slices.IndexFunc(live, func(m *member.Member) bool { return m.Name == self })
	for _, id := range owned {
		c.own(id, max(len(live), 1), max(rank, 0))
	}
	c.rebuildOwner()
	if !slices.Equal(owned, c.watched) {
		c.emit(Watch{Backends: owned})
		c.watched = owned
	}
}

// Responsible returns the address of the live router that a subject is assigned to by rendezvous hashing, "" if that is
// this router.
func (c *Core) Responsible(subject string) string {
	self := c.members.Self()
	address, weight := "", uint64(0)
	for _, m := range c.members.Live() {
		w := model.Rendezvous(m.Name, subject)
		if w < weight {
			continue
		}
		address, weight = m.Address, w
		if m.Name == self.Name {
			address = ""
		}
	}
	return address
}
