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

// childLink is the link to a child.
type childLink struct {
	attachment uint64
	sequence   uint64
	last       map[model.Key]entry
	included   uint64 // sequence number of the last Up included in the amounts that the root has sent down
	noView     bool   // the child has no view of the fleet's service
}

// parentLink is the link to the parent.
type parentLink struct {
	name          string
	boot          uint64
	attachment    uint64
	sequence      uint64
	base          map[model.Key]amount // amounts of the subtree that were confirmed before the attachment
	sent          map[uint64]snapshot
	lastDown      uint64 // sequence number of the last Down accepted
	viewRequested bool
}

// childPosition is the last Up received from a child.
type childPosition struct {
	attachment uint64
	sequence   uint64
}

// snapshot is what an Up included, stored until it is confirmed.
type snapshot struct {
	subtree  map[model.Key]amount
	children map[string]childPosition
	at       model.Time
}

// rootTerm identifies a period in which a router is root.
type rootTerm struct {
	root   string
	number uint64
}

// SetTree sets the routers in the tree's order: the first is the root, and the children of the one at index i begin at
// index Fanout*i+1. If the list doesn't contain this router, the tree consists of this router alone.
func (l *Ledger) SetTree(now model.Time, order []Peer) {
	at := slices.IndexFunc(order, func(p Peer) bool { return p.Name == l.self })
	if at < 0 {
		order, at = []Peer{{Name: l.self}}, 0
	}
	firstChild := min(Fanout*at+1, len(order))
	alone := len(l.childPeers) == 0
	l.childPeers = slices.Clone(order[firstChild:min(firstChild+Fanout, len(order))])
	if alone {
		l.started = now
	}
	l.dropChildren()
	l.updateMembers(now, order)
	if at == 0 {
		l.becomeRoot(now)
		return
	}
	l.attach(now, order[(at-1)/Fanout])
}

// updateMembers records the members of the tree, when routers were removed and from when on they may have been
// partitioned.
func (l *Ledger) updateMembers(now model.Time, order []Peer) {
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
	if l.partitionStart == never || now > l.lastLoss+partitionWindow {
		l.partitionStart = now - detectionTime
	}
	l.lastLoss = now
	l.resetRootService(now)
}

// resetRootService resets the service that this router has received as root: the removed routers had received its
// amounts until then.
func (l *Ledger) resetRootService(now model.Time) {
	if !l.isRoot || now < l.started+minTermDuration {
		return
	}
	for _, a := range l.accounts {
		a.rootService = 0
	}
}

func (l *Ledger) isChild(name string) bool {
	return slices.ContainsFunc(l.childPeers, func(p Peer) bool { return p.Name == name })
}

func (l *Ledger) dropChildren() {
	for _, name := range slices.Sorted(maps.Keys(l.children)) {
		if !l.isChild(name) {
			l.retireLink(l.children[name])
			delete(l.children, name)
		}
	}
}

// maxFormerLinks is the number of links to former children that are stored.
const maxFormerLinks = 256

// retireLink stores a link that is no longer in use. Its child may not have noticed, and may continue the amounts
// since the link was made when it becomes a child again.
func (l *Ledger) retireLink(c *childLink) {
	l.formerLinks = append(l.formerLinks, c)
	l.formerLinks = l.formerLinks[max(0, len(l.formerLinks)-maxFormerLinks):]
}

// linkFor returns the link of an attachment: the current one, a former one, or else a new one.
func (l *Ledger) linkFor(name string, attachment uint64) *childLink {
	c := l.children[name]
	if c != nil && c.attachment == attachment {
		return c
	}
	if c != nil {
		l.retireLink(c)
	}
	found := &childLink{attachment: attachment, last: map[model.Key]entry{}}
	if i := slices.IndexFunc(l.formerLinks, func(p *childLink) bool { return p.attachment == attachment }); i >= 0 {
		found = l.formerLinks[i]
		l.formerLinks = slices.Delete(l.formerLinks, i, i+1)
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
	if l.hasView {
		l.markContinuous(true)
		l.startTerm()
	}
	l.includeSubtree(now)
}

// startTerm starts a term that continues the last one received.
func (l *Ledger) startTerm() {
	l.previous = l.term
	l.term = rootTerm{root: l.self, number: l.term.number + 1}
	l.hasView = true
	for _, a := range l.accounts {
		a.unlifted = a.backlogged
	}
}

// mayStartTerm reports whether a root without state may start a term from zero: once all of its children have reported
// that they have no view either, or after viewTimeout, as a child may be partitioned.
func (l *Ledger) mayStartTerm(now model.Time) bool {
	if l.hasView || len(l.childPeers) == 0 {
		return false
	}
	if now >= l.started+viewTimeout {
		return true
	}
	return !slices.ContainsFunc(l.childPeers, func(p Peer) bool {
		c := l.children[p.Name]
		return c == nil || !c.noView
	})
}

// includeSubtree adds, when this router becomes root, the unconfirmed service of its subtree to the fleet's amounts.
func (l *Ledger) includeSubtree(now model.Time) {
	for _, key := range l.order {
		a := l.accounts[key]
		rest := a.subtree.minus(a.confirmed).sum()
		a.virtual += rest
		a.rootService += rest
		a.confirmed = a.subtree
		l.updateFleetState(now, key, a)
	}
}

func (l *Ledger) attach(now model.Time, parent Peer) {
	if l.parent != nil && l.parent.name == parent.Name && l.parent.boot == parent.Boot {
		return
	}
	l.isRoot = false
	base := map[model.Key]amount{}
	for key, a := range l.accounts {
		base[key] = a.confirmed
	}
	l.parent = &parentLink{
		name:       parent.Name,
		boot:       parent.Boot,
		attachment: l.nextID(),
		base:       base,
		sent:       map[uint64]snapshot{},
	}
	l.nextUp = now
}

// handOver hands over the service received as root: if the successor doesn't continue this router's term, it is sent
// up as merged service.
func (l *Ledger) handOver(down *wire.Down) {
	continues := l.hasView && down.FromRoot == l.self && down.FromTerm == l.term.number
	wasRoot := !l.hasView || l.term.root == l.self
	for _, a := range l.accounts {
		if wasRoot && !continues {
			a.subtree.merged += a.rootService
		}
		a.rootService = 0
	}
}
