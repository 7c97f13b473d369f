package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy"
)

// goRoundEvery is which of the grants goes round the waiting accounts while they
// are further apart than the policy's CatchUpTokens.
const goRoundEvery = 4

// candidate is an account that could be granted a slot.
type candidate struct {
	key    model.Key
	score  model.Service
	oldest model.Time
}

// pick returns the account to be served next in a pool.
func (c *Core) pick(pool model.PoolID) (model.Key, bool) {
	return c.first(c.candidates(pool))
}

// first returns the candidate to be served first.
func (c *Core) first(candidates []candidate) (model.Key, bool) {
	if len(candidates) == 0 {
		return model.Key{}, false
	}
	best := candidates[0]
	most := candidates[0].score
	for _, x := range candidates[1:] {
		if c.before(x, best) {
			best = x
		}
		most = max(most, x.score)
	}
	catchUp := model.ServiceOf(c.config.Policy.CatchUpTokens, 1)
	if catchUp > 0 && most-best.score > catchUp && c.grants%goRoundEvery == 0 {
		best = c.longestPassedOver(candidates)
	}
	return best.key, true
}

// urgentLead is how far ahead of the others that wait an account may be, in
// tokens at weight 1, for its interactive work to exceed the slots.
const urgentLead = 1000

// pickUrgent returns the account whose interactive work may exceed the slots:
// the furthest behind of those that have fewer requests running than their even
// part of the pool, and aren't ahead of others that wait. An account that fills
// the pool by itself so leaves this room to the others, and one that is ahead
// doesn't stay ahead by it.
func (c *Core) pickUrgent(pool model.PoolID) (model.Key, bool) {
	waiting := c.candidates(pool)
	if len(waiting) == 0 {
		return model.Key{}, false
	}
	least := waiting[0].score
	for _, x := range waiting {
		least = min(least, x.score)
	}
	most := least + model.ServiceOf(urgentLead, 1)
	part := c.poolSlots(pool) / max(c.ledger.Active(pool), 1)
	urgent := slices.DeleteFunc(waiting, func(x candidate) bool {
		d := c.demands[x.key]
		return !d.waits(model.Interactive) || x.score > most || c.ledger.Running(x.key)+len(d.recent) >= part
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

// before tells whether a goes before b.
func (c *Core) before(a, b candidate) bool {
	if c.config.Policy.Order != policy.ByArrival && a.score != b.score {
		return a.score < b.score
	}
	if a.oldest != b.oldest {
		return a.oldest < b.oldest
	}
	return a.key.Compare(b.key) < 0
}

// longestPassedOver returns the candidate whose last grant is the longest ago.
func (c *Core) longestPassedOver(candidates []candidate) candidate {
	best := candidates[0]
	for _, x := range candidates[1:] {
		if c.lastGrant[x.key] < c.lastGrant[best.key] {
			best = x
		}
	}
	return best
}

func (c *Core) candidates(pool model.PoolID) []candidate {
	standing := c.ledger.Standings(pool)
	var out []candidate
	for _, key := range c.demandKeys(pool) {
		d := c.demands[key]
		if c.atConcurrency(key, d) {
			continue
		}
		out = append(out, candidate{key: key, score: standing(key) + d.recentService(c.now, c.ledger.Loop()), oldest: d.oldest(c.now)})
	}
	return out
}

// demandKeys returns the accounts with any demand in a pool, in order.
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
	for _, o := range d.offers {
		if o.count[model.Interactive]+o.count[model.Batch] > 0 {
			oldest = min(oldest, o.oldest)
		}
	}
	return oldest
}

// recentService returns the service of the grants that the ledger may not show
// yet, and forgets the older ones.
func (d *demand) recentService(now model.Time, loop time.Duration) model.Service {
	d.recent = slices.DeleteFunc(d.recent, func(r recentGrant) bool { return now > r.at+loop })
	var sum model.Service
	for _, r := range d.recent {
		sum += r.service
	}
	return sum
}

// atConcurrency tells whether an account has as many requests running over the
// fleet as it may.
func (c *Core) atConcurrency(key model.Key, d *demand) bool {
	limit := c.config.Accounts[key.Account].Limits.Concurrent
	return limit > 0 && c.ledger.Running(key)+len(d.recent) >= limit
}
