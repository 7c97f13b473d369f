// Package ledger keeps the virtual service of each client account over the
// whole fleet, at a cost to each router that doesn't grow with the fleet.
//
// The live routers form a tree, each with at most Fanout children, whose order
// all of them derive alike from the membership. Each router sends its parent,
// in an Up, the service of its subtree as a cumulative amount since it was
// attached to that parent; the parent adds what has come on top of the last Up
// of that attachment. The root sends the fleet's virtual service down, as
// absolute amounts. Both are state: a lost, repeated or reordered message does
// no harm, and the next one heals it.
//
// An account that comes back from idle is lifted, by the root, to the least of
// those that were backlogged, so that it neither saves credit nor starves.
//
// A change of root. Each root gives its reign a term, one higher than the last
// it has seen, and says which term it continues. A router that was root keeps
// the service it took in as root apart. If its successor continues its term,
// that service is in the successor's amounts already. If not, as after a cut
// in which both halves had a root, it is sent up like any other service, so
// that what each half served is counted, once. A root that has no memory asks
// its children for their view, waits for one, and continues the newest.
//
// Limits. Service is lost or counted twice only where a router dies (what it
// hadn't sent up yet) or where a root dies (what it had taken in and not yet
// sent down, which its children send again if it wasn't confirmed). Both are
// at most one round trip through the tree. Two halves of a cut lift accounts
// each for itself; after the cut the surviving root's lifts count.
package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// Fanout is the greatest number of children in the tree.
	Fanout = 8
	// Interval is the shortest time between two Ups, and between two Downs.
	Interval = 200 * time.Millisecond
	// bytesPerSecond bounds what a router sends for the ledger: the interval
	// grows when the messages do.
	bytesPerSecond = 4000
	// entrySize is the size of one entry on the wire, about, in bytes.
	entrySize = 18
	// quietFor is how long an account is still reported after its last change.
	quietFor = 3 * time.Second
	// viewWait is how long a root with no memory waits for a view to continue.
	viewWait = 1500 * time.Millisecond
	// unconfirmedUps is how many Ups are remembered until they are confirmed.
	unconfirmedUps = 64
	// headerSize is the size of a datagram with no entries, in bytes.
	headerSize = 90
)

// account is the state of one account in one pool.
type account struct {
	virtual    model.Service // as last sent down by the root
	own        model.Service // given at this router since its start
	subtree    model.Service // given in the subtree, not counting what was confirmed
	confirmed  model.Service // of subtree, what the root's amounts include
	reign      model.Service // taken in as root
	backlogged bool          // somewhere in the fleet, by the last Down
	running    uint32        // in the fleet, by the last Down
	ownBusy    bool
	ownRunning uint32
	touched    model.Time
}

// child is the link to a child.
type child struct {
	attachment uint64
	sequence   uint64
	last       map[model.Key]*wire.Entry
	heard      model.Time
	included   uint64 // sequence whose service is in what this router has sent up
}

// attached is the link to the parent.
type attached struct {
	parent     string
	boot       uint64
	attachment uint64
	sequence   uint64
	base       map[model.Key]model.Service // subtree at the attachment
	sent       map[uint64]snapshot
	downSeen   uint64 // sequence of the last Down taken
	wantsView  bool
}

// mark is how far a child's service had come in.
type mark struct {
	attachment uint64
	sequence   uint64
}

// snapshot is what an Up included, kept until it is confirmed.
type snapshot struct {
	subtree  map[model.Key]model.Service
	children map[string]mark
	at       model.Time
}

type reign struct {
	root string
	term uint64
}

// Send is a part of a datagram to another router.
type Send struct {
	To   string
	Up   *wire.Up
	Down *wire.Down
}

// Peer is a router in the tree's order.
type Peer struct {
	Name string
	Boot uint64
}

// Ledger is the machine. It does no I/O and reads no clock.
type Ledger struct {
	self     string
	nextID   func() uint64
	accounts map[model.Key]*account
	order    []model.Key
	children map[string]*child
	parent   *attached
	kids     []Peer
	isRoot   bool
	started  model.Time
	known    bool // a view of the fleet's service is held
	reign    reign
	from     reign
	downSeq  uint64
	floors   map[model.PoolID]model.Service // to which the root lifts
	nextUp   model.Time
	nextDown model.Time
	loop     time.Duration
}

// New returns the ledger of a router that has just started.
func New(self string, now model.Time, nextID func() uint64) *Ledger {
	return &Ledger{
		self:     self,
		nextID:   nextID,
		accounts: map[model.Key]*account{},
		floors:   map[model.PoolID]model.Service{},
		children: map[string]*child{},
		started:  now,
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
	i, _ := slices.BinarySearchFunc(l.order, key, compareKeys)
	l.order = slices.Insert(l.order, i, key)
	return a
}

func compareKeys(a, b model.Key) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}

// SetTree takes the routers in the tree's order: the first is the root, and
// the children of the one at i are at Fanout*i+1 and on. Where the list doesn't
// have the router itself, it is alone.
func (l *Ledger) SetTree(now model.Time, order []Peer) {
	at := slices.IndexFunc(order, func(p Peer) bool { return p.Name == l.self })
	if at < 0 {
		order, at = []Peer{{Name: l.self}}, 0
	}
	first := Fanout*at + 1
	alone := len(l.kids) == 0
	l.kids = slices.Clone(order[min(first, len(order)):min(first+Fanout, len(order))])
	if alone {
		l.started = now
	}
	l.dropChildren()
	if at == 0 {
		l.becomeRoot(now)
		return
	}
	parent := order[(at-1)/Fanout]
	l.attach(now, parent)
}

func (l *Ledger) dropChildren() {
	for name := range l.children {
		if !slices.ContainsFunc(l.kids, func(p Peer) bool { return p.Name == name }) {
			delete(l.children, name)
		}
	}
}

func (l *Ledger) becomeRoot(now model.Time) {
	if l.isRoot {
		return
	}
	l.isRoot = true
	l.parent = nil
	l.started = now
	if !l.known {
		return
	}
	l.beginReign()
	l.absorb(now)
}

// beginReign starts a term that continues the one last seen.
func (l *Ledger) beginReign() {
	l.from = l.reign
	l.reign = reign{root: l.self, term: l.reign.term + 1}
	l.known = true
}

func (l *Ledger) attach(now model.Time, parent Peer) {
	if l.parent != nil && l.parent.parent == parent.Name && l.parent.boot == parent.Boot {
		return
	}
	l.isRoot = false
	base := map[model.Key]model.Service{}
	for key, a := range l.accounts {
		base[key] = a.confirmed
	}
	l.parent = &attached{
		parent:     parent.Name,
		boot:       parent.Boot,
		attachment: l.nextID(),
		base:       base,
		sent:       map[uint64]snapshot{},
	}
	l.nextUp = now
}

// Add gives an account service at this router; negative where an estimate was
// too high.
func (l *Ledger) Add(now model.Time, key model.Key, service model.Service) {
	a := l.get(key)
	a.own += service
	a.touched = now
	l.take(a, service)
}

// take counts service of the subtree: into the fleet's amounts at the root,
// else into what is to be sent up.
func (l *Ledger) take(a *account, service model.Service) {
	if l.isRoot {
		a.virtual += service
		a.reign += service
		return
	}
	a.subtree += service
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
	a.touched = now
	if l.isRoot {
		l.refreshRoot(key, a)
	}
}

// refreshRoot recomputes an account's state over the fleet and lifts it where
// it has come back from idle.
func (l *Ledger) refreshRoot(key model.Key, a *account) {
	backlogged, running := a.ownBusy, a.ownRunning
	for _, c := range l.children {
		if e := c.last[key]; e != nil {
			backlogged = backlogged || e.Backlogged
			running += e.Running
		}
	}
	if backlogged && !a.backlogged {
		l.lift(key, a)
	}
	a.backlogged = backlogged
	a.running = running
}

func (l *Ledger) lift(key model.Key, a *account) {
	floor := l.floors[key.Pool]
	if least, ok := l.Least(key.Pool); ok {
		floor = max(floor, least)
	}
	a.virtual = max(a.virtual, floor)
}

// raiseFloors keeps, for each pool, the least virtual service of its
// backlogged accounts; where none is left the busy period is over, and the
// floor becomes the greatest of all.
func (l *Ledger) raiseFloors() {
	for i := 0; i < len(l.order); {
		pool := l.order[i].Pool
		end := i
		var most model.Service
		for ; end < len(l.order) && l.order[end].Pool == pool; end++ {
			most = max(most, l.virtual(l.accounts[l.order[end]]))
		}
		if least, ok := l.Least(pool); ok {
			most = least
		}
		l.floors[pool] = max(l.floors[pool], most)
		i = end
	}
}

// Least returns the least virtual service of the accounts backlogged in a pool.
func (l *Ledger) Least(pool model.PoolID) (model.Service, bool) {
	var least model.Service
	found := false
	start, _ := slices.BinarySearchFunc(l.order, model.Key{Pool: pool}, compareKeys)
	for _, key := range l.order[start:] {
		if key.Pool != pool {
			break
		}
		a := l.accounts[key]
		if !a.backlogged {
			continue
		}
		if v := l.virtual(a); !found || v < least {
			least, found = v, true
		}
	}
	return least, found
}

func (l *Ledger) virtual(a *account) model.Service {
	return a.virtual + a.subtree - a.confirmed
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
		l.raiseFloors()
		if !l.known && len(l.kids) > 0 && now >= l.started+viewWait {
			l.beginReign()
		}
	} else if now >= l.nextUp {
		out = append(out, l.up(now))
	}
	if l.known && len(l.kids) > 0 && now >= l.nextDown {
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
	if l.known && len(l.kids) > 0 {
		wake = min(wake, l.nextDown)
	}
	return wake
}

// paced returns the interval that keeps messages of this size in the budget.
func paced(entries, receivers int) time.Duration {
	size := receivers * (headerSize + entries*entrySize)
	return max(Interval, time.Duration(size)*time.Second/bytesPerSecond)
}

// up makes the next Up: the accounts that changed of late or have work, as
// cumulative amounts.
func (l *Ledger) up(now model.Time) Send {
	p := l.parent
	p.sequence++
	snap := snapshot{subtree: map[model.Key]model.Service{}, children: map[string]mark{}, at: now}
	up := &wire.Up{Attachment: p.attachment, Sequence: p.sequence}
	for _, key := range l.order {
		a := l.accounts[key]
		backlogged, running := l.subtreeState(key, a)
		if !backlogged && running == 0 && a.subtree == a.confirmed && now > a.touched+quietFor {
			continue
		}
		snap.subtree[key] = a.subtree
		up.Entries = append(up.Entries, &wire.Entry{
			Pool: uint32(key.Pool), Account: uint32(key.Account),
			Service:    int64(a.subtree - p.base[key]),
			Backlogged: backlogged, Running: running,
		})
	}
	for name, c := range l.children {
		snap.children[name] = mark{c.attachment, c.sequence}
	}
	p.sent[p.sequence] = snap
	delete(p.sent, p.sequence-unconfirmedUps)
	if p.wantsView && l.known {
		up.View = l.view()
	}
	l.nextUp = now + paced(len(up.Entries), 1)
	return Send{To: p.parent, Up: up}
}

func (l *Ledger) subtreeState(key model.Key, a *account) (backlogged bool, running uint32) {
	backlogged, running = a.ownBusy, a.ownRunning
	for _, c := range l.children {
		if e := c.last[key]; e != nil {
			backlogged = backlogged || e.Backlogged
			running += e.Running
		}
	}
	return backlogged, running
}

func (l *Ledger) view() *wire.Down {
	view := &wire.Down{Root: l.reign.root, Term: l.reign.term}
	for _, key := range l.order {
		a := l.accounts[key]
		view.Entries = append(view.Entries, entryOf(key, a))
	}
	return view
}

func entryOf(key model.Key, a *account) *wire.Entry {
	return &wire.Entry{
		Pool: uint32(key.Pool), Account: uint32(key.Account),
		Service: int64(a.virtual), Backlogged: a.backlogged, Running: a.running,
	}
}

// downs makes the next Down for each child that has attached.
func (l *Ledger) downs(now model.Time) []Send {
	l.downSeq++
	var entries []*wire.Entry
	for _, key := range l.order {
		a := l.accounts[key]
		if a.backlogged || a.running > 0 || now <= a.touched+quietFor {
			entries = append(entries, entryOf(key, a))
		}
	}
	var out []Send
	for _, kid := range l.kids {
		down := &wire.Down{
			Root: l.reign.root, Term: l.reign.term,
			FromRoot: l.from.root, FromTerm: l.from.term,
			Sequence: l.downSeq, Entries: entries,
		}
		if c := l.children[kid.Name]; c != nil {
			down.Attachment = c.attachment
			down.IncludedSequence = c.included
			if l.isRoot {
				down.IncludedSequence = c.sequence
			}
		}
		out = append(out, Send{To: kid.Name, Down: down})
	}
	l.nextDown = now + paced(len(entries), len(l.kids))
	return out
}

// ReceiveUp takes a child's service.
func (l *Ledger) ReceiveUp(now model.Time, from string, up *wire.Up) []Send {
	if !slices.ContainsFunc(l.kids, func(p Peer) bool { return p.Name == from }) {
		return nil
	}
	c := l.children[from]
	if c == nil || c.attachment != up.Attachment {
		c = &child{attachment: up.Attachment, last: map[model.Key]*wire.Entry{}}
		l.children[from] = c
	}
	if up.Sequence <= c.sequence {
		return nil
	}
	if l.isRoot && !l.known {
		return l.askView(now, from, c, up)
	}
	c.sequence = up.Sequence
	c.heard = now
	l.takeEntries(now, c, up.Entries)
	return nil
}

// askView handles an Up at a root that has no memory: it continues the view
// the child sent along, or asks for it.
func (l *Ledger) askView(now model.Time, from string, c *child, up *wire.Up) []Send {
	if up.View == nil {
		return []Send{{To: from, Down: &wire.Down{Attachment: up.Attachment}}}
	}
	l.adopt(up.View)
	l.beginReign()
	c.sequence = up.Sequence
	l.takeEntries(now, c, up.Entries)
	return nil
}

// adopt takes a view of the fleet's service, on top of which stands what this
// router has given itself since its start.
func (l *Ledger) adopt(view *wire.Down) {
	l.reign = reign{root: view.Root, term: view.Term}
	for _, e := range view.Entries {
		a := l.get(keyOf(e))
		a.virtual += model.Service(e.Service)
		a.backlogged = e.Backlogged
	}
}

func keyOf(e *wire.Entry) model.Key {
	return model.Key{Pool: model.PoolID(e.Pool), Account: model.AccountID(e.Account)}
}

func (l *Ledger) takeEntries(now model.Time, c *child, entries []*wire.Entry) {
	fresh := make(map[model.Key]*wire.Entry, len(entries))
	for _, e := range entries {
		key := keyOf(e)
		a := l.get(key)
		var before int64
		if last := c.last[key]; last != nil {
			before = last.Service
		}
		if e.Service != before {
			l.take(a, model.Service(e.Service-before))
			a.touched = now
		}
		fresh[key] = e
	}
	for key, e := range c.last {
		if fresh[key] == nil {
			fresh[key] = &wire.Entry{Pool: e.Pool, Account: e.Account, Service: e.Service}
		}
	}
	c.last = fresh
	if !l.isRoot {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(fresh), compareKeys) {
		l.refreshRoot(key, l.accounts[key])
	}
}

// ReceiveDown takes the fleet's service from the parent and passes it on.
func (l *Ledger) ReceiveDown(now model.Time, from string, down *wire.Down) []Send {
	p := l.parent
	if p == nil || p.parent != from {
		return nil
	}
	if down.Root == "" {
		p.wantsView = true
		l.nextUp = now
		return nil
	}
	if down.Attachment != p.attachment || down.Term < l.reign.term && down.Root == l.reign.root {
		return nil
	}
	if down.Sequence <= p.downSeen {
		return nil
	}
	p.downSeen = down.Sequence
	p.wantsView = false
	l.yieldReign(down)
	l.reign = reign{root: down.Root, term: down.Term}
	l.from = reign{root: down.FromRoot, term: down.FromTerm}
	l.known = true
	l.confirm(now, down.IncludedSequence)
	l.takeDown(now, down.Entries)
	l.nextDown = now
	return nil
}

// yieldReign hands over what this router took in as root: to a successor that
// doesn't continue this router's term it is sent up like other service.
func (l *Ledger) yieldReign(down *wire.Down) {
	continues := down.FromRoot == l.self && down.FromTerm == l.reign.term
	wasRoot := !l.known || l.reign.root == l.self
	for _, a := range l.accounts {
		if wasRoot && !continues {
			a.subtree += a.reign
		}
		a.reign = 0
	}
}

// confirm marks what the Up of that sequence carried as part of the amounts.
func (l *Ledger) confirm(now model.Time, sequence uint64) {
	p := l.parent
	snap, ok := p.sent[sequence]
	if !ok {
		return
	}
	l.loop = now - snap.at
	for key, subtree := range snap.subtree {
		l.accounts[key].confirmed = subtree
	}
	for name, m := range snap.children {
		if c := l.children[name]; c != nil && c.attachment == m.attachment {
			c.included = max(c.included, m.sequence)
		}
	}
	for seq := range p.sent {
		if seq <= sequence {
			delete(p.sent, seq)
		}
	}
}

func (l *Ledger) takeDown(now model.Time, entries []*wire.Entry) {
	fresh := map[model.Key]bool{}
	for _, e := range entries {
		key := keyOf(e)
		a := l.get(key)
		if a.virtual != model.Service(e.Service) {
			a.touched = now
		}
		a.virtual = model.Service(e.Service)
		a.backlogged = e.Backlogged
		a.running = e.Running
		fresh[key] = true
	}
	for key, a := range l.accounts {
		if !fresh[key] {
			a.backlogged = false
			a.running = 0
		}
	}
}

// absorb is called when this router becomes root: what its subtree had given
// and not yet seen confirmed joins the amounts.
func (l *Ledger) absorb(now model.Time) {
	for _, key := range l.order {
		a := l.accounts[key]
		rest := a.subtree - a.confirmed
		a.virtual += rest
		a.reign += rest
		a.confirmed = a.subtree
		l.refreshRoot(key, a)
	}
	l.nextDown = now
}
