package ledger

import (
	"github.com/tamarindstep/tamarindstep/model"
)

// carry marks the accounts that have been backlogged here since before a new
// reign.
func (l *Ledger) carry(continues bool) {
	for _, a := range l.accounts {
		before := a.unlifted
		if continues {
			before = a.backlogged
		}
		a.carried = a.ownBusy && before
	}
}

// state is what there is of an account in a subtree.
type state struct {
	backlogged bool
	carried    bool // backlogged since before the present reign
	running    uint32
}

func (l *Ledger) subtreeState(key model.Key, a *account) state {
	s := state{backlogged: a.ownBusy, carried: a.carried, running: a.ownRunning}
	for _, c := range l.children {
		e := c.last[key]
		s.backlogged = s.backlogged || e.backlogged
		s.carried = s.carried || e.carried
		s.running += e.running
	}
	return s
}

// refreshRoot works out an account's state over the fleet and lifts it where it
// has come back from idle.
func (l *Ledger) refreshRoot(now model.Time, key model.Key, a *account) {
	s := l.subtreeState(key, a)
	a.running = s.running
	switch {
	case s.carried && a.lifted >= l.cutSince:
		a.virtual -= a.credit
		a.credit = 0
	case s.backlogged && !a.backlogged && !s.carried:
		l.lift(now, key, a)
		a.unlifted = false
	}
	a.backlogged = s.backlogged
	a.unlifted = a.unlifted && s.backlogged || s.carried
}

func (l *Ledger) lift(now model.Time, key model.Key, a *account) {
	floor := l.floors[key.Pool]
	if least, ok := l.least(key.Pool); ok {
		floor = max(floor, least)
	}
	raise := floor - l.delivered(key, a)
	if raise <= 0 {
		return
	}
	if a.lifted < l.cutSince {
		a.credit = 0
	}
	a.virtual += raise
	a.credit += raise
	a.lifted = now
}

// delivered returns an account's virtual service without what its running
// requests count for beyond their deliveries.
func (l *Ledger) delivered(key model.Key, a *account) model.Service {
	return l.virtual(a) - l.charge(key)*model.Service(a.running)
}

// least returns the least that an account backlogged in a pool was delivered.
func (l *Ledger) least(pool model.PoolID) (model.Service, bool) {
	var least model.Service
	found := false
	for _, key := range l.inPool(pool) {
		a := l.accounts[key]
		if !a.backlogged {
			continue
		}
		if v := l.delivered(key, a); !found || v < least {
			least, found = v, true
		}
	}
	return least, found
}

// raiseFloors keeps, for each pool, the least that its backlogged accounts were
// delivered; where none is left the busy period is over, and the floor becomes
// the greatest of all. A new root first waits to hear who is backlogged.
func (l *Ledger) raiseFloors(now model.Time) {
	if len(l.kids) > 0 && now < l.started+settling {
		return
	}
	for i := 0; i < len(l.order); {
		pool := l.order[i].Pool
		keys := l.inPool(pool)
		floor, ok := l.least(pool)
		if !ok {
			for _, key := range keys {
				floor = max(floor, l.delivered(key, l.accounts[key]))
			}
		}
		l.floors[pool] = max(l.floors[pool], floor)
		i += len(keys)
	}
}

// Standings returns a function that gives an account's place in the order of a
// pool: its virtual service, lifted where the root doesn't know yet that the
// account is backlogged and so hasn't lifted it.
func (l *Ledger) Standings(pool model.PoolID) func(model.Key) model.Service {
	least, some := l.least(pool)
	return func(key model.Key) model.Service {
		a := l.accounts[key]
		switch {
		case a == nil:
			return least
		case a.backlogged || !some:
			return l.virtual(a)
		}
		return max(l.virtual(a), least+l.charge(key)*model.Service(a.running))
	}
}

// Active returns how many accounts have work in a pool, waiting or running.
func (l *Ledger) Active(pool model.PoolID) int {
	count := 0
	for _, key := range l.inPool(pool) {
		if a := l.accounts[key]; a.backlogged || a.running > 0 || a.ownRunning > 0 {
			count++
		}
	}
	return count
}
