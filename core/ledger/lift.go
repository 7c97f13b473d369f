package ledger

import (
	"github.com/tamarindstep/tamarindstep/model"
)

// markContinuous marks the accounts that have been backlogged here since before a new term. continues reports whether
// the new term continues the previous one.
func (l *Ledger) markContinuous(continues bool) {
	for _, a := range l.accounts {
		before := a.unlifted
		if continues {
			before = a.backlogged
		}
		a.continuous = a.localBacklogged && before
	}
}

// state is the state of an account in a subtree.
type state struct {
	backlogged bool
	continuous bool // backlogged since before the current term
	running    uint32
}

func (l *Ledger) subtreeState(key model.Key, a *account) state {
	s := state{backlogged: a.localBacklogged, continuous: a.continuous, running: a.localRunning}
	for _, c := range l.children {
		e := c.last[key]
		s.backlogged = s.backlogged || e.backlogged
		s.continuous = s.continuous || e.continuous
		s.running += e.running
	}
	return s
}

// updateFleetState computes an account's state over the fleet, at the root, and lifts it if it has returned from idle.
func (l *Ledger) updateFleetState(now model.Time, key model.Key, a *account) {
	s := l.subtreeState(key, a)
	a.running = s.running
	switch {
	case s.continuous && a.liftedAt >= l.partitionStart:
		a.virtual -= a.credit
		a.credit = 0
	case s.backlogged && !a.backlogged && !s.continuous:
		l.lift(now, key, a)
		a.unlifted = false
	}
	a.backlogged = s.backlogged
	a.unlifted = a.unlifted && s.backlogged || s.continuous
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
	if a.liftedAt < l.partitionStart {
		a.credit = 0
	}
	a.virtual += raise
	a.credit += raise
	a.liftedAt = now
}

// delivered returns an account's virtual service without the charge for its running requests beyond their deliveries.
func (l *Ledger) delivered(key model.Key, a *account) model.Service {
	return l.virtual(a) - l.charge(key)*model.Service(a.running)
}

// least returns the least delivered service of the accounts that are backlogged in a pool.
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

// raiseFloors updates each pool's floor to the least delivered service of its backlogged accounts. If there is none
// the busy period is over, and the floor becomes the greatest delivered service of all accounts. A new root first
// waits for reports of backlogged accounts.
func (l *Ledger) raiseFloors(now model.Time) {
	if len(l.childPeers) > 0 && now < l.started+settleTime {
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

// EffectiveVirtual returns a function that returns an account's position in the order of a pool: its virtual service,
// lifted if the account isn't backlogged in the root's last received state and so hasn't been lifted there.
func (l *Ledger) EffectiveVirtual(pool model.PoolID) func(model.Key) model.Service {
	least, found := l.least(pool)
	return func(key model.Key) model.Service {
		a := l.accounts[key]
		switch {
		case a == nil:
			return least
		case a.backlogged || !found:
			return l.virtual(a)
		}
		return max(l.virtual(a), least+l.charge(key)*model.Service(a.running))
	}
}

// Active returns the number of accounts with waiting or running requests in a pool.
func (l *Ledger) Active(pool model.PoolID) int {
	count := 0
	for _, key := range l.inPool(pool) {
		if a := l.accounts[key]; a.backlogged || a.running > 0 || a.localRunning > 0 {
			count++
		}
	}
	return count
}
