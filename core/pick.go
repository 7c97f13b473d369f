package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy"
)

// roundRobinEvery is the number of grants of which one goes to the account granted least recently, while the accounts'
// scores differ by more than the policy's CatchUpTokens.
const roundRobinEvery = 4

// candidate is an account that may be granted a slot.
type candidate struct {
	key    model.Key
	score  model.Service
	oldest model.Time
}

// pick returns the account to be granted the next slot in a pool.
func (c *Core) pick(pool model.PoolID) (model.Key, bool) {
	return c.first(c.candidates(pool))
}

// first returns the account of the candidate to be granted a slot first.
func (c *Core) first(candidates []candidate) (model.Key, bool) {
	if len(candidates) == 0 {
		return model.Key{}, false
	}
	best := candidates[0]
	most := candidates[0].score
	for _, x := range candidates[1:] {
		if c.precedes(x, best) {
			best = x
		}
		most = max(most, x.score)
	}
	catchUp := model.ServiceOf(c.config.Policy.CatchUpTokens, 1)
	if catchUp > 0 && most-best.score > catchUp && c.grants%roundRobinEvery == 0 {
		best = c.leastRecentlyGranted(candidates)
	}
	return best.key, true
}

// maxUrgentLead is the greatest lead over the waiting account that is furthest behind, in tokens at weight 1, with
// which an account's interactive requests may exceed the slots.
const maxUrgentLead = 1000

// pickUrgent returns the account whose interactive requests may exceed the slots: the furthest behind of those that run
// fewer requests than an equal share of the pool and don't lead by more than maxUrgentLead. So an account that fills
// the pool leaves the additional slots to the others, and an account that is ahead doesn't stay ahead by them.
func (c *Core) pickUrgent(pool model.PoolID) (model.Key, bool) {
	waiting := c.candidates(pool)
	if len(waiting) == 0 {
		return model.Key{}, false
	}
	least := waiting[0].score
	for _, x := range waiting {
		least = min(least, x.score)
	}
	most := least + model.ServiceOf(maxUrgentLead, 1)
	equalShare := c.poolSlots(pool) / max(c.ledger.Active(pool), 1)
	urgent := slices.DeleteFunc(waiting, func(x candidate) bool {
		d := c.demands[x.key]
		return !d.waits(model.Interactive) || x.score > most || c.ledger.Running(x.key)+len(d.recent) >= equalShare
	})
	return c.first(urgent)
}

// poolSlots returns the slots of all backend servers of a pool.
func (c *Core) poolSlots(pool model.PoolID) int {
	slots := 0
	for _, b := range c.config.Backends {
		if b.Pool == pool {
			slots += b.Slots
		}
	}
	return slots
}

// precedes reports whether a is served before b.
func (c *Core) precedes(a, b candidate) bool {
	if c.config.Policy.Order != policy.ByArrival && a.score != b.score {
		return a.score < b.score
	}
	if a.oldest != b.oldest {
		return a.oldest < b.oldest
	}
	return a.key.Compare(b.key) < 0
}

// leastRecentlyGranted returns the candidate whose last grant was longest ago.
func (c *Core) leastRecentlyGranted(candidates []candidate) candidate {
	best := candidates[0]
	for _, x := range candidates[1:] {
		if c.lastGrant[x.key] < c.lastGrant[best.key] {
			best = x
		}
	}
	return best
}

func (c *Core) candidates(pool model.PoolID) []candidate {
	virtualService := c.ledger.EffectiveVirtual(pool)
	var out []candidate
	for _, key := range c.demandKeys(pool) {
		d := c.demands[key]
		if c.atConcurrencyLimit(key, d) {
			continue
		}
		out = append(out, candidate{key: key, score: virtualService(key) + d.recentService(c.now, c.ledger.RoundTrip()), oldest: d.oldest(c.now)})
	}
	return out
}

// demandKeys returns the accounts with waiting requests in a pool, in order.
func (c *Core) demandKeys(pool model.PoolID) []model.Key {
	var out []model.Key
	for key, d := range c.demands {
		if key.Pool == pool && (d.waits(model.Interactive) || d.waits(model.Batch)) {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, model.Key.Compare)
	return out
}

func (d *demand) oldest(now model.Time) model.Time {
	oldest := now
	for _, o := range d.byRouter {
		if o.count[model.Interactive]+o.count[model.Batch] > 0 {
			oldest = min(oldest, o.oldest)
		}
	}
	return oldest
}

// recentService returns the service of the grants that the ledger may not include yet, and discards the older ones.
func (d *demand) recentService(now model.Time, loop time.Duration) model.Service {
	d.recent = slices.DeleteFunc(d.recent, func(r recentGrant) bool { return now > r.at+loop })
	var sum model.Service
	for _, r := range d.recent {
		sum += r.service
	}
	return sum
}

// atConcurrencyLimit reports whether an account runs as many requests in the fleet as its limit allows.
func (c *Core) atConcurrencyLimit(key model.Key, d *demand) bool {
	limit := c.config.Accounts[key.Account].Limits.Concurrent
	return limit > 0 && c.ledger.Running(key)+len(d.recent) >= limit
}
