package ledger

import (
	"maps"
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// entry is the state of one account in one message.
type entry struct {
	key     model.Key
	service amount
	state
}

// The bits of an entry's encoded state, below the number of running requests.
const (
	backloggedBit = 1
	continuousBit = 2
	runningShift  = 2
)

func (s state) bits() uint32 {
	bits := s.running << runningShift
	if s.backlogged {
		bits |= backloggedBit
	}
	if s.continuous {
		bits |= continuousBit
	}
	return bits
}

func stateOf(bits uint32) state {
	return state{backlogged: bits&backloggedBit != 0, continuous: bits&continuousBit != 0, running: bits >> runningShift}
}

// columnsOf encodes entries, which are ordered by key.
func columnsOf(entries []entry) []*wire.Column {
	var out []*wire.Column
	var c *wire.Column
	merged := false
	for _, e := range entries {
		if c == nil || c.Pool != uint32(e.key.Pool) {
			c = &wire.Column{Pool: uint32(e.key.Pool)}
			out = append(out, c)
		}
		c.Accounts = append(c.Accounts, uint32(e.key.Account))
		c.Given = append(c.Given, int64(e.service.given))
		c.Merged = append(c.Merged, int64(e.service.merged))
		c.State = append(c.State, e.bits())
		merged = merged || e.service.merged != 0
	}
	if !merged {
		for _, c := range out {
			c.Merged = nil
		}
	}
	return out
}

// entriesOf decodes entries. A column whose lists differ in length is skipped.
func entriesOf(columns []*wire.Column) []entry {
	var out []entry
	for _, c := range columns {
		n := len(c.Accounts)
		if len(c.Given) != n || len(c.State) != n || len(c.Merged) != n && len(c.Merged) != 0 {
			continue
		}
		for i := range c.Accounts {
			e := entry{
				key:     model.Key{Pool: model.PoolID(c.Pool), Account: model.AccountID(c.Accounts[i])},
				service: amount{given: model.Service(c.Given[i])},
				state:   stateOf(c.State[i]),
			}
			if len(c.Merged) != 0 {
				e.service.merged = model.Service(c.Merged[i])
			}
			out = append(out, e)
		}
	}
	return out
}

// buildUp returns the next Up: the cumulative amounts of the accounts that changed recently or have requests.
func (l *Ledger) buildUp(now model.Time) Message {
	p := l.parent
	p.sequence++
	snap := snapshot{subtree: map[model.Key]amount{}, children: map[string]childPosition{}, at: now}
	var entries []entry
	for _, key := range l.order {
		if p.lastDown == 0 {
			break // the parent's term, and so the amounts to report, are unknown
		}
		a := l.accounts[key]
		s := l.subtreeState(key, a)
		if !s.backlogged && s.running == 0 && a.subtree == a.confirmed && now > a.lastChange+reportPeriod {
			continue
		}
		snap.subtree[key] = a.subtree
		entries = append(entries, entry{key, a.subtree.minus(p.base[key]), s})
	}
	for name, c := range l.children {
		snap.children[name] = childPosition{c.attachment, c.sequence}
	}
	p.sent[p.sequence] = snap
	delete(p.sent, p.sequence-maxUnconfirmedUps)
	up := &wire.Up{Attachment: p.attachment, Sequence: p.sequence, Columns: columnsOf(entries)}
	if p.viewRequested && l.hasView {
		up.View = &wire.Down{Root: l.term.root, Term: l.term.number, Columns: l.amounts(now, true)}
	}
	up.NoView = p.viewRequested && !l.hasView
	l.nextUp = now + messageInterval(len(entries), 1)
	return Message{To: p.name, Up: up}
}

// amounts returns the fleet's service: of all accounts, or of those that changed recently or have requests.
func (l *Ledger) amounts(now model.Time, all bool) []*wire.Column {
	var entries []entry
	for _, key := range l.order {
		a := l.accounts[key]
		if all || a.backlogged || a.running > 0 || now <= a.lastChange+reportPeriod {
			entries = append(entries, entry{key, amount{given: a.virtual}, state{a.backlogged, a.unlifted, a.running}})
		}
	}
	return columnsOf(entries)
}

// buildDowns returns the next Down for each child.
func (l *Ledger) buildDowns(now model.Time) []Message {
	l.downSeq++
	l.downPending = false
	columns := l.amounts(now, false)
	var out []Message
	for _, child := range l.childPeers {
		down := &wire.Down{
			Root: l.term.root, Term: l.term.number,
			FromRoot: l.previous.root, FromTerm: l.previous.number,
			Sequence: l.downSeq, Columns: columns,
		}
		if c := l.children[child.Name]; c != nil {
			down.Attachment = c.attachment
			down.IncludedSequence = c.included
			if l.isRoot {
				down.IncludedSequence = c.sequence
			}
		}
		out = append(out, Message{To: child.Name, Down: down})
	}
	entries := 0
	for _, c := range columns {
		entries += len(c.Accounts)
	}
	l.nextDown = now + messageInterval(entries, len(l.childPeers))
	return out
}

// ReceiveUp handles an Up from a child.
func (l *Ledger) ReceiveUp(now model.Time, from string, up *wire.Up) []Message {
	if !l.isChild(from) {
		return nil
	}
	c := l.linkFor(from, up.Attachment)
	if up.Sequence <= c.sequence {
		return nil
	}
	if l.isRoot && !l.hasView {
		c.noView = up.NoView
		if up.View == nil {
			return []Message{{To: from, Down: &wire.Down{Attachment: up.Attachment}}}
		}
		l.adopt(up.View)
	}
	c.sequence = up.Sequence
	l.applyEntries(now, c, entriesOf(up.Columns))
	return nil
}

// adopt continues a view of the fleet's service, and adds to it what this router has received since its start.
func (l *Ledger) adopt(view *wire.Down) {
	l.term = rootTerm{root: view.Root, number: view.Term}
	for _, e := range entriesOf(view.Columns) {
		a := l.accountFor(e.key)
		a.virtual += e.service.given
		a.backlogged = e.backlogged
		a.unlifted = e.continuous
	}
	l.startTerm()
}

func (l *Ledger) applyEntries(now model.Time, c *childLink, entries []entry) {
	last := make(map[model.Key]entry, len(entries))
	for _, e := range entries {
		a := l.accountFor(e.key)
		if more := e.service.minus(c.last[e.key].service); more != (amount{}) {
			l.addService(a, more)
			a.lastChange = now
		}
		last[e.key] = e
	}
	for key, e := range c.last {
		if _, ok := last[key]; !ok {
			last[key] = entry{key: key, service: e.service}
		}
	}
	c.last = last
	if !l.isRoot {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(last), model.Key.Compare) {
		l.updateFleetState(now, key, l.accounts[key])
	}
}

// ReceiveDown handles a Down from the parent.
func (l *Ledger) ReceiveDown(now model.Time, from string, down *wire.Down) {
	p := l.parent
	if p == nil || p.name != from || down.Attachment != p.attachment {
		return
	}
	if down.Root == "" {
		l.offerView(now)
		return
	}
	stale := down.Root == l.term.root && down.Term < l.term.number
	if stale || down.Sequence <= p.lastDown {
		return
	}
	p.lastDown = down.Sequence
	p.viewRequested = false
	if received := (rootTerm{root: down.Root, number: down.Term}); received != l.term {
		l.markContinuous(l.term == rootTerm{root: down.FromRoot, number: down.FromTerm})
		l.handOver(down)
		l.term = received
	}
	l.previous = rootTerm{root: down.FromRoot, number: down.FromTerm}
	l.hasView = true
	l.downPending = true
	l.confirm(now, down.IncludedSequence)
	l.applyDown(now, entriesOf(down.Columns))
}

// offerView sends this router's view, if it has one, to a parent without a view.
func (l *Ledger) offerView(now model.Time) {
	if l.hasView && !l.parent.viewRequested {
		l.nextUp = now
	}
	l.parent.viewRequested = true
}

// confirm records that the amounts include the Up with the given sequence number.
func (l *Ledger) confirm(now model.Time, sequence uint64) {
	p := l.parent
	snap, ok := p.sent[sequence]
	if !ok {
		return
	}
	l.roundTrip = now - snap.at
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

func (l *Ledger) applyDown(now model.Time, entries []entry) {
	reported := make(map[model.Key]bool, len(entries))
	for _, e := range entries {
		a := l.accountFor(e.key)
		if a.virtual != e.service.given {
			a.lastChange = now
		}
		a.virtual = e.service.given
		a.backlogged = e.backlogged
		a.unlifted = e.continuous
		a.running = e.running
		reported[e.key] = true
	}
	for key, a := range l.accounts {
		if !reported[key] {
			a.backlogged = false
			a.running = 0
		}
	}
}
