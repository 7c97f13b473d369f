package ledger

import (
	"maps"
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Peer is a router in the tree's order.
type Peer struct {
	Name string
	Boot uint64
}

// child is the link to a child.
type child struct {
	attachment uint64
	sequence   uint64
	last       map[model.Key]entry
	included   uint64 // sequence whose service is in what the root has sent down
	noView     bool   // it has no view of the fleet's service
}

// attached is the link to the parent.
type attached struct {
	parent     string
	boot       uint64
	attachment uint64
	sequence   uint64
	base       map[model.Key]amount // subtree that counts as sent before
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
	subtree  map[model.Key]amount
	children map[string]mark
	at       model.Time
}

// reign is the time of one root.
type reign struct {
	root string
	term uint64
}

// SetTree takes the routers in the tree's order: the first is the root, and
// the children of the one at i are at Fanout*i+1 and on. Where the list doesn't
// have the router itself, it is alone.
func (l *Ledger) SetTree(now model.Time, order []Peer) {
	at := slices.IndexFunc(order, func(p Peer) bool { return p.Name == l.self })
	if at < 0 {
		order, at = []Peer{{Name: l.self}}, 0
	}
	first := min(Fanout*at+1, len(order))
	alone := len(l.kids) == 0
	l.kids = slices.Clone(order[first:min(first+Fanout, len(order))])
	if alone {
		l.started = now
	}
	l.dropChildren()
	l.noteMembers(now, order)
	if at == 0 {
		l.becomeRoot(now)
		return
	}
	l.attach(now, order[(at-1)/Fanout])
}

// noteMembers notes when routers are lost, and since when they may have been on
// their own.
func (l *Ledger) noteMembers(now model.Time, order []Peer) {
	members := make(map[string]bool, len(order))
	for _, p := range order {
		members[p.Name] = true
	}
	lost := false
	for name := range l.members {
		lost = lost || !members[name]
	}
	l.members = members
	if !lost {
		return
	}
	if l.cutSince == never || now > l.lastLoss+oneCut {
		l.cutSince = now - detection
	}
	l.lastLoss = now
	l.resetReign(now)
}

// resetReign begins the count of what this router takes in as root anew: the
// routers that were lost had its amounts until then.
func (l *Ledger) resetReign(now model.Time) {
	if !l.isRoot || now < l.started+reignKept {
		return
	}
	for _, a := range l.accounts {
		a.reign = 0
	}
}

func (l *Ledger) isKid(name string) bool {
	return slices.ContainsFunc(l.kids, func(p Peer) bool { return p.Name == name })
}

func (l *Ledger) dropChildren() {
	for _, name := range slices.Sorted(maps.Keys(l.children)) {
		if !l.isKid(name) {
			l.putAway(l.children[name])
			delete(l.children, name)
		}
	}
}

// pastKept is how many links to former children are remembered.
const pastKept = 256

// putAway remembers a link that is given up. Its child may not know of that, and
// go on with the amounts since the link was made when it is a child again.
func (l *Ledger) putAway(c *child) {
	l.past = append(l.past, c)
	l.past = l.past[max(0, len(l.past)-pastKept):]
}

// childOf returns the link of an attachment: the present one, one that was given
// up, or else a new one.
func (l *Ledger) childOf(name string, attachment uint64) *child {
	c := l.children[name]
	if c != nil && c.attachment == attachment {
		return c
	}
	if c != nil {
		l.putAway(c)
	}
	found := &child{attachment: attachment, last: map[model.Key]entry{}}
	if i := slices.IndexFunc(l.past, func(p *child) bool { return p.attachment == attachment }); i >= 0 {
		found = l.past[i]
		l.past = slices.Delete(l.past, i, i+1)
	}
	l.children[name] = found
	return found
}

func (l *Ledger) becomeRoot(now model.Time) {
	if l.isRoot {
		return
	}
	l.isRoot = true
	l.parent = nil
	l.started = now
	l.nextDown = now
	if l.known {
		l.carry(true)
		l.beginReign()
	}
	l.absorb(now)
}

// beginReign starts a term that continues the one last seen.
func (l *Ledger) beginReign() {
	l.from = l.reign
	l.reign = reign{root: l.self, term: l.reign.term + 1}
	l.known = true
	for _, a := range l.accounts {
		a.unlifted = a.backlogged
	}
}

// mayBegin tells whether a root with no memory may begin from nothing: once all
// of its children have said that they have no view either. One that never says
// so, as it is cut off, isn't waited for longer than viewWait.
func (l *Ledger) mayBegin(now model.Time) bool {
	if l.known || len(l.kids) == 0 {
		return false
	}
	if now >= l.started+viewWait {
		return true
	}
	return !slices.ContainsFunc(l.kids, func(p Peer) bool {
		c := l.children[p.Name]
		return c == nil || !c.noView
	})
}

// absorb is called when this router becomes root: what its subtree had given
// and not yet seen confirmed joins the amounts.
func (l *Ledger) absorb(now model.Time) {
	for _, key := range l.order {
		a := l.accounts[key]
		rest := a.subtree.minus(a.confirmed).sum()
		a.virtual += rest
		a.reign += rest
		a.confirmed = a.subtree
		l.refreshRoot(now, key, a)
	}
}

func (l *Ledger) attach(now model.Time, parent Peer) {
	if l.parent != nil && l.parent.parent == parent.Name && l.parent.boot == parent.Boot {
		return
	}
	l.isRoot = false
	base := map[model.Key]amount{}
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

// yieldReign hands over what this router took in as root: to a successor that
// doesn't continue this router's term it is sent up as merged service.
func (l *Ledger) yieldReign(down *wire.Down) {
	continues := l.known && down.FromRoot == l.self && down.FromTerm == l.reign.term
	wasRoot := !l.known || l.reign.root == l.self
	for _, a := range l.accounts {
		if wasRoot && !continues {
			a.subtree.merged += a.reign
		}
		a.reign = 0
	}
}
