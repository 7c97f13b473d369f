// Package ledger keeps the virtual service of each client account over the
// whole fleet, at a cost to each router that doesn't grow with the fleet.
//
// The live routers form a tree, each with at most Fanout children, whose order
// all of them derive alike from the membership. Each router sends its parent,
// in an Up, the service of its subtree as a cumulative amount since it was
// attached to that parent; the parent adds what has come on top of the last Up
// of that attachment. The root sends the fleet's virtual service down, as
// absolute amounts, with the sequence of each child's last Up that they
// include. Both are state: a lost, repeated or reordered message does no harm,
// and the next one heals it. A router adds to what it was told what its own
// subtree has given since.
//
// # Coming back from idle
//
// An account that comes back from idle is lifted, by the root, to the least of
// those that are backlogged, so that it neither saves credit nor starves. What
// running requests count for beyond their deliveries is left out of this: an
// account that has none running isn't ahead for that.
//
// # A change of root
//
// Each root gives its reign a term, one higher than the last it has seen, and
// says which term it continues. A router that was root keeps the service it
// took in as root apart. If its successor continues its term, that service is in
// the successor's amounts already. If not, as after a cut in which both halves
// had a root, it is sent up as merged service, so that what each half gave is
// counted, once. A root with no memory asks its children for their view, waits
// for one, and continues the newest.
//
// To a new root, and to the surviving one where a half rejoins, the accounts seem
// idle until their routers are heard. A router that is told of another reign
// therefore says of which accounts work has been waiting all along: those that
// were backlogged, where the reign continues the one before, else those that the
// former root hadn't lifted. These aren't lifted, and what they were lifted by
// since the cut began is taken back. An account that came back from idle
// during the cut is lifted as usual, and what the other half gave it first uses
// up that lift: it ends where it would have, had the service come first.
//
// # Limits
//
// Service is lost or counted twice only where a router dies (what it hadn't sent
// up yet) or where a root dies (what it had taken in and not yet sent down, or
// what its children send again as it wasn't confirmed). Both are at most one
// round trip through the tree. During a cut each half lifts for itself.
package ledger

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// Fanout is the greatest number of children in the tree.
	Fanout = 4
	// Interval is the shortest time between two Ups, and between two Downs.
	Interval = 100 * time.Millisecond
	// bytesPerSecond bounds what a router sends up, and what it sends down: the
	// interval grows when the messages do.
	bytesPerSecond = 5000
	// entrySize and headSize are the sizes of an entry and of the rest of a
	// message on the wire, about, in bytes.
	entrySize = 11
	headSize  = 150
	// quietFor is how long an account is still reported after its last change.
	quietFor = 3 * time.Second
	// viewWait is how long a root with no memory waits for a view to continue.
	viewWait = 15 * time.Second
	// settling is how long a new root waits to hear who is backlogged.
	settling = 1500 * time.Millisecond
	// detection is how long it takes, about, until a cut shows in the membership.
	detection = 4 * time.Second
	// oneCut is how far apart the losses of routers by one cut may show.
	oneCut = time.Minute
	// reignKept is how long a root must have reigned for its reign to count anew
	// when routers are lost: those had the amounts until then.
	reignKept = 30 * time.Second
	// unconfirmedUps is how many Ups are remembered until they are confirmed.
	unconfirmedUps = 64
)

// never is a time that doesn't come.
const never = model.Time(1<<63 - 1)

// amount is service on its way up.
type amount struct {
	given  model.Service
	merged model.Service // taken in by a root that was one beside another
}

func (a amount) sum() model.Service { return a.given + a.merged }

func (a amount) minus(b amount) amount { return amount{a.given - b.given, a.merged - b.merged} }

func (a *amount) add(b amount) { a.given += b.given; a.merged += b.merged }

// account is the state of one account in one pool.
type account struct {
	virtual   model.Service // as last sent down by the root
	own       model.Service // given at this router since its start
	subtree   amount        // given in the subtree, not as root
	confirmed amount        // of subtree, what the root's amounts include
	reign     model.Service // taken in as root

	credit model.Service // what it was lifted by since the last cut, less what was used up
	lifted model.Time    // when last

	backlogged bool   // somewhere in the fleet
	running    uint32 // in the fleet
	ownBusy    bool
	ownRunning uint32
	carried    bool // backlogged here since before the present reign
	unlifted   bool // backlogged since before the root's reign
	touched    model.Time
}

// Send is a part of a datagram to another router.
type Send struct {
	To   string
	Up   *wire.Up
	Down *wire.Down
}

// Ledger is the machine. It does no I/O and reads no clock.
type Ledger struct {
	self     string
	nextID   func() uint64
	charge   func(model.Key) model.Service
	accounts map[model.Key]*account
	order    []model.Key
	floors   map[model.PoolID]model.Service // to which the root lifts

	// The place in the tree.
	isRoot   bool
	parent   *attached
	kids     []Peer
	children map[string]*child
	past     []*child // links that were given up, the newest last

	// The reign whose amounts are held.
	known    bool
	reign    reign
	from     reign
	started  model.Time      // when this router became root, or first had a child
	members  map[string]bool // of the tree
	lastLoss model.Time      // when routers were last lost from the tree
	cutSince model.Time      // when those that were lost last were still there, at the least

	nextUp   model.Time
	nextDown model.Time
	downSeq  uint64
	fresh    bool // amounts have come that haven't been sent down
	loop     time.Duration
}

// New returns the ledger of a router that has just started. charge returns what
// one running request of an account counts for beyond its deliveries.
func New(self string, now model.Time, nextID func() uint64, charge func(model.Key) model.Service) *Ledger {
	return &Ledger{
		self:     self,
		nextID:   nextID,
		charge:   charge,
		accounts: map[model.Key]*account{},
		floors:   map[model.PoolID]model.Service{},
		children: map[string]*child{},
		started:  now,
		cutSince: never,
		isRoot:   true,
		loop:     Interval,
	}
}

func (l *Ledger) get(key model.Key) *account {
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

// Add gives an account service at this router; negative where an estimate was
// too high.
func (l *Ledger) Add(now model.Time, key model.Key, service model.Service) {
	a := l.get(key)
	a.own += service
	a.touched = now
	l.take(a, amount{given: service})
}

// take counts service of the subtree: into the fleet's amounts at the root,
// else into what is to be sent up.
func (l *Ledger) take(a *account, s amount) {
	if !l.isRoot {
		a.subtree.add(s)
		return
	}
	if s.merged > 0 && a.lifted >= l.cutSince {
		used := min(s.merged, a.credit)
		a.credit -= used
		s.merged -= used
	}
	a.virtual += s.sum()
	a.reign += s.sum()
}

// SetBusy records whether an account has work waiting at this router and how
// many of its requests run from here.
func (l *Ledger) SetBusy(now model.Time, key model.Key, backlogged bool, running int) {
	a := l.get(key)
	if a.ownBusy == backlogged && a.ownRunning == uint32(running) {
		return
	}
	a.ownBusy = backlogged
	a.ownRunning = uint32(running)
	a.carried = a.carried && backlogged
	a.touched = now
	if l.isRoot {
		l.refreshRoot(now, key, a)
	}
}

func (l *Ledger) virtual(a *account) model.Service {
	return a.virtual + a.subtree.minus(a.confirmed).sum()
}

// Virtual returns an account's virtual service over the fleet as far as known
// here, what this router's subtree has given and not yet seen confirmed included.
func (l *Ledger) Virtual(key model.Key) model.Service {
	a := l.accounts[key]
	if a == nil {
		return 0
	}
	return l.virtual(a)
}

// Keys returns every account and pool that the ledger knows of, in order.
func (l *Ledger) Keys() []model.Key { return l.order }

// Own returns the service given to an account at this router since its start.
func (l *Ledger) Own(key model.Key) model.Service {
	if a := l.accounts[key]; a != nil {
		return a.own
	}
	return 0
}

// Backlogged tells whether the root knows of work of an account that waits
// somewhere in the fleet, and so has lifted it.
func (l *Ledger) Backlogged(key model.Key) bool {
	a := l.accounts[key]
	return a != nil && a.backlogged
}

// Running returns the requests of an account that run over the fleet, as last told.
func (l *Ledger) Running(key model.Key) int {
	a := l.accounts[key]
	if a == nil {
		return 0
	}
	return int(max(a.running, a.ownRunning))
}

// Loop returns how long it takes, by the last measurement, until service given
// here is part of the amounts sent down.
func (l *Ledger) Loop() time.Duration { return l.loop }

// Tick advances time and returns what is due.
func (l *Ledger) Tick(now model.Time) []Send {
	var out []Send
	if l.isRoot {
		l.raiseFloors(now)
		l.fresh = true
		if l.mayBegin(now) {
			l.beginReign()
		}
	} else if now >= l.nextUp {
		out = append(out, l.up(now))
	}
	if l.known && l.fresh && len(l.kids) > 0 && now >= l.nextDown {
		out = append(out, l.downs(now)...)
	}
	return out
}

// Wake returns when Tick has next something to do.
func (l *Ledger) Wake(now model.Time) model.Time {
	wake := now + Interval
	if l.parent != nil {
		wake = min(wake, l.nextUp)
	}
	if l.known && l.fresh && len(l.kids) > 0 {
		wake = min(wake, l.nextDown)
	}
	return wake
}

// paced returns the interval that keeps messages of this size in the budget.
func paced(entries, receivers int) time.Duration {
	size := receivers * (headSize + entries*entrySize)
	return max(Interval, time.Duration(size)*time.Second/bytesPerSecond)
}
