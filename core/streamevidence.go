package core

import (
	"slices"

	"github.com/tamarindstep/tamarindstep/core/streams"
	"github.com/tamarindstep/tamarindstep/model"
)

// confirmLookups continues the lookups of streams that had begun before a sync of the registry was started: it listed
// every lineage that they can be of.
func (c *Core) confirmLookups(sync uint64) {
	for _, id := range sortedKeys(c.streams.lookups) {
		l := c.streams.lookups[id]
		if !l.request.Continues || l.registrySync == 0 || l.registrySync > sync {
			continue
		}
		l.registry = RegistryReached
		if lineage, only := c.onlyRegistered(l); only {
			delete(c.streams.lookups, id)
			c.scheduleBound(l, lineage, streams.Registered)
		}
	}
}

// onlyRegistered returns the only lineage that a stream which is looked up can be of, if the registry has been read since
// the request arrived.
func (c *Core) onlyRegistered(l *lookup) (model.Lineage, bool) {
	if l.registry != RegistryReached {
		return model.Lineage{}, false
	}
	var found []model.Lineage
	for _, pool := range l.request.Pools {
		found = append(found, c.mayHaveBegun(pool)...)
	}
	if len(found) != 1 {
		return model.Lineage{}, false
	}
	return found[0], true
}

// mayHaveBegun returns the lineages of a pool that may have begun streams: those of the registry and those that this router
// knows, but for the ones that are served and are still to be registered.
func (c *Core) mayHaveBegun(pool model.PoolID) []model.Lineage {
	r := &c.streams.registry
	var out []model.Lineage
	for _, l := range r.listed {
		if l.Pool == pool {
			out = append(out, l)
		}
	}
	for _, l := range c.streams.tracker.Lineages(c.now, pool) {
		_, served := r.appeared[l]
		if (!served || r.begun[l]) && !slices.Contains(out, l) {
			out = append(out, l)
		}
	}
	return out
}

// leaveRegistry continues lookups without the registry, as it can't be read.
func (c *Core) leaveRegistry(sync uint64) {
	for _, l := range c.streams.lookups {
		if l.registrySync != 0 && l.registrySync <= sync && l.registry == RegistryAwaited {
			l.registry = RegistryUnreached
		}
	}
}

// awaitsOnlyRegistry reports whether the registry may settle a lookup without a question to the other routers: this router
// knows of one lineage only.
func (c *Core) awaitsOnlyRegistry(l *lookup) bool {
	if !c.streams.registry.enabled || l.registry != RegistryAwaited {
		return false
	}
	_, only := c.streams.tracker.Only(c.now, l.request.Pools)
	return only
}

// lacksRegistration reports whether the store doesn't answer while a lineage that is served isn't registered as far as this
// router knows. Others may know.
func (c *Core) lacksRegistration() bool {
	r := &c.streams.registry
	if !r.enabled || r.failed == 0 {
		return false
	}
	return slices.ContainsFunc(c.streams.tracker.Served(), func(l model.Lineage) bool { return !r.registered(l) })
}

// registeredRecords returns the lineages that this router knows to be registered, in the form of records of no stream.
func (c *Core) registeredRecords() []streams.Record {
	r := &c.streams.registry
	var out []streams.Record
	for _, l := range c.streams.tracker.Served() {
		if r.enabled && r.registered(l) {
			out = append(out, streams.Record{Lineage: l})
		}
	}
	return out
}

// recordTold records the lineages that another router knows to be registered.
func (c *Core) recordTold(records []streams.Record) {
	r := &c.streams.registry
	for _, record := range records {
		if _, served := r.appeared[record.Lineage]; record.Stream == 0 && served {
			r.told[record.Lineage] = true
		}
	}
}

// knowsRegistry reports whether this router has read the registry and its own streams since it started. Before that it
// can't tell which streams there are.
func (c *Core) knowsRegistry() bool {
	s := &c.streams
	return !s.registry.enabled || s.registry.reached && s.loaded
}

// isMajority reports whether a number of other routers and this one are more than half of the fleet.
func (c *Core) isMajority(others int) bool { return 2*(others+1) > len(c.members.Names())+1 }
