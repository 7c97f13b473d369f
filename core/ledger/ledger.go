// Package ledger maintains the virtual service of each client account over the whole fleet, at a cost to each router
// that doesn't grow with the fleet.
//
// The live routers form a tree with at most Fanout children each, which all of them derive from the membership in the
// same way. Each router sends its parent, in an Up, the service of its subtree as a cumulative amount since it was
// attached to that parent; the parent adds the increase since the last Up of that attachment. The root sends the
// fleet's virtual service down as absolute amounts, with the sequence number of each child's last Up that they
// include. Both messages carry state, so a lost, repeated or reordered message does no harm, and the next one makes up
// for it. A router adds to the amounts it received the service that its own subtree has given since.
//
// # Return from idle
//
// An account that returns from idle is lifted by the root to the least virtual service of the backlogged accounts, so
// that it neither saves credit nor starves. The charge for running requests beyond their deliveries is left out of
// this comparison: an account with no running requests isn't ahead for that reason.
//
// # Change of the root
//
// Each root assigns a term to its time as root, one higher than the last it has received, and states which term it
// continues. A former root keeps the service that it received as root separately. If its successor continues its term,
// the successor's amounts already include that service. If not, as after a network partition in which both halves had
// a root, it is sent up as merged service, so that the service of each half is counted once. A root without state
// requests its children's view, waits for one and continues it.
//
// To a new root, and to the remaining root when a half rejoins, accounts seem idle until their routers have reported.
// A router that receives a new term therefore reports which accounts have been backlogged throughout: those that were
// backlogged before, if the term continues the previous one, else those that the former root hadn't lifted. These
// aren't lifted, and any lift since the partition began is reverted. An account that returned from idle during the
// partition is lifted as usual, and service from the other half is first deducted from that lift: the result is the
// same as if the service had arrived first.
//
// # Limits
//
// Service is lost or counted twice only when a router fails (what it hadn't sent up yet) or when a root fails (what it
// had received and not yet sent down, or what its children send again because it wasn't confirmed). Both are at most
// one round trip through the tree. During a partition each half lifts accounts separately.
package ledger

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// Fanout is the maximum number of children in the tree.
	Fanout = 4
	// MinInterval is the minimum interval between two Ups, and between two Downs.
	MinInterval = 100 * time.Millisecond
	// bytesPerSecond limits what a router sends up, and what it sends down: the interval grows with the size of the
	// messages.
	bytesPerSecond = 5000
	// entrySize and headerSize are the approximate encoded sizes, in bytes, of an entry and of the rest of a message.
	entrySize  = 11
	headerSize = 150
	// reportPeriod is how long an account is still reported after its last change.
	reportPeriod = 3 * time.Second
	// viewTimeout is how long a root without state waits for a view to continue.
	viewTimeout = 15 * time.Second
	// settleTime is how long a new root waits for reports of backlogged accounts.
	settleTime = 1500 * time.Millisecond
	// detectionTime is about how long the membership takes to reflect a partition.
	detectionTime = 4 * time.Second
	// partitionWindow is the maximum time between the losses of routers that are attributed to the same partition.
	partitionWindow = time.Minute
	// minTermDuration is how long a router must have been root before the loss of routers resets its root service. The
	// lost routers had its amounts until then.
	minTermDuration = 30 * time.Second
	// maxUnconfirmedUps is the number of Ups that are stored until they are confirmed.
	maxUnconfirmedUps = 64
)

// never is a time later than any other.
const never = model.Time(1<<63 - 1)

// amount is service that is sent up.
type amount struct {
	given  model.Service
	merged model.Service // received by a root while there was another root
}

func (a amount) sum() model.Service { return a.given + a.merged }

func (a amount) minus(b amount) amount { return amount{a.given - b.given, a.merged - b.merged} }

func (a *amount) add(b amount) { a.given += b.given; a.merged += b.merged }

// account is the state of one account in one pool.
type account struct {
	virtual      model.Service // as last sent down by the root
	localService model.Service // given at this router since its start
	subtree      amount        // given in the subtree, without rootService
	confirmed    amount        // the part of subtree that the root's amounts include
	rootService  model.Service // received as root

	credit   model.Service // amount lifted since the last partition, less what was deducted
	liftedAt model.Time    // time of the last lift

	backlogged      bool   // somewhere in the fleet
	running         uint32 // in the fleet
	localBacklogged bool
	localRunning    uint32
	continuous      bool // backlogged here since before the current term
	unlifted        bool // backlogged since before the root's term
	lastChange      model.Time
}

// Message is a part of a datagram to another router.
type Message struct {
	To   string
	Up   *wire.Up
	Down *wire.Down
}

// Ledger is the state machine. It does no I/O and reads no clock.
type Ledger struct {
	self     string
	nextID   func() uint64
	charge   func(model.Key) model.Service
	accounts map[model.Key]*account
	order    []model.Key
	floors   map[model.PoolID]model.Service // minimum for accounts that the root lifts

	// The position in the tree.
	isRoot      bool
	parent      *parentLink
	childPeers  []Peer
	children    map[string]*childLink
	formerLinks []*childLink // links to former children, newest last

	// The term of the stored amounts.
	hasView        bool
	term           rootTerm
	previous       rootTerm
	started        model.Time      // when this router became root, or first had children
	members        map[string]bool // of the tree
	lastLoss       model.Time      // when routers were last removed from the tree
	partitionStart model.Time      // when the last removed routers were certainly still connected

	nextUp      model.Time
	nextDown    model.Time
	downSeq     uint64
	downPending bool // amounts have changed since the last Down
	roundTrip   time.Duration
}

// New returns the ledger of a router that has just started. charge returns what one running request of an account
// counts for beyond its deliveries.
func New(self string, now model.Time, nextID func() uint64, charge func(model.Key) model.Service) *Ledger {
	return &Ledger{
		self:           self,
		nextID:         nextID,
		charge:         charge,
		accounts:       map[model.Key]*account{},
		floors:         map[model.PoolID]model.Service{},
		children:       map[string]*childLink{},
		started:        now,
		partitionStart: never,
		isRoot:         true,
		roundTrip:      MinInterval,
	}
}

func (l *Ledger) accountFor(key model.Key) *account {
	a := l.accounts[key]
	if a != nil {
		return a
	}
	a = &account{}
	l.accounts[key] = a
	i, _ := slices.BinarySearchFunc(l.order, key, model.Key.Compare)
	l.order = slices.Insert(l.order, i, key)
	return a
}

// inPool returns the keys of a pool.
func (l *Ledger) inPool(pool model.PoolID) []model.Key {
	from, _ := slices.BinarySearchFunc(l.order, model.Key{Pool: pool}, model.Key.Compare)
	to := from
	for to < len(l.order) && l.order[to].Pool == pool {
		to++
	}
	return l.order[from:to]
}

// AddService records service given to an account at this router; negative if an estimate was too high.
func (l *Ledger) AddService(now model.Time, key model.Key, service model.Service) {
	a := l.accountFor(key)
	a.localService += service
	a.lastChange = now
	l.addService(a, amount{given: service})
}

// addService counts service of the subtree: at the root in the fleet's amounts, else in the amounts to send up.
func (l *Ledger) addService(a *account, s amount) {
	if !l.isRoot {
		a.subtree.add(s)
		return
	}
	if s.merged > 0 && a.liftedAt >= l.partitionStart {
		used := min(s.merged, a.credit)
		a.credit -= used
		s.merged -= used
	}
	a.virtual += s.sum()
	a.rootService += s.sum()
}

// SetBacklog records whether an account has requests waiting at this router and how many of its requests are running
// from here.
func (l *Ledger) SetBacklog(now model.Time, key model.Key, backlogged bool, running int) {
	a := l.accountFor(key)
	if a.localBacklogged == backlogged && a.localRunning == uint32(running) {
		return
	}
	a.localBacklogged = backlogged
	a.localRunning = uint32(running)
	a.continuous = a.continuous && backlogged
	a.lastChange = now
	if l.isRoot {
		l.updateFleetState(now, key, a)
	}
}

func (l *Ledger) virtual(a *account) model.Service {
	return a.virtual + a.subtree.minus(a.confirmed).sum()
}

// Virtual returns an account's virtual service over the fleet, including service that this router's subtree has given
// and that isn't confirmed yet.
func (l *Ledger) Virtual(key model.Key) model.Service {
	a := l.accounts[key]
	if a == nil {
		return 0
	}
	return l.virtual(a)
}

// Keys returns the keys of all recorded accounts and pools, in order.
func (l *Ledger) Keys() []model.Key { return l.order }

// LocalService returns the service given to an account at this router since its start.
func (l *Ledger) LocalService(key model.Key) model.Service {
	if a := l.accounts[key]; a != nil {
		return a.localService
	}
	return 0
}

// Backlogged reports whether the root has recorded waiting requests of an account anywhere in the fleet, and so has
// lifted it.
func (l *Ledger) Backlogged(key model.Key) bool {
	a := l.accounts[key]
	return a != nil && a.backlogged
}

// Running returns the number of an account's running requests over the fleet, as last received.
func (l *Ledger) Running(key model.Key) int {
	a := l.accounts[key]
	if a == nil {
		return 0
	}
	return int(max(a.running, a.localRunning))
}

// RoundTrip returns the last measured time until service given here was included in the amounts sent down.
func (l *Ledger) RoundTrip() time.Duration { return l.roundTrip }

// Tick updates the state to the given time and returns the messages that are due.
func (l *Ledger) Tick(now model.Time) []Message {
	var out []Message
	if l.isRoot {
		l.raiseFloors(now)
		l.downPending = true
		if l.mayStartTerm(now) {
			l.startTerm()
		}
	} else if now >= l.nextUp {
		out = append(out, l.buildUp(now))
	}
	if l.hasView && l.downPending && len(l.childPeers) > 0 && now >= l.nextDown {
		out = append(out, l.buildDowns(now)...)
	}
	return out
}

// NextWake returns the time at which Tick next has something to do.
func (l *Ledger) NextWake(now model.Time) model.Time {
	wake := now + MinInterval
	if l.parent != nil {
		wake = min(wake, l.nextUp)
	}
	if l.hasView && l.downPending && len(l.childPeers) > 0 {
		wake = min(wake, l.nextDown)
	}
	return wake
}

// messageInterval returns the interval that keeps messages of this size within bytesPerSecond.
func messageInterval(entries, receivers int) time.Duration {
	size := receivers * (headerSize + entries*entrySize)
	return max(MinInterval, time.Duration(size)*time.Second/bytesPerSecond)
}
