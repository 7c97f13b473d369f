package ledger

import (
	"maps"
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// entry is one account in one message.
type entry struct {
	key     model.Key
	service amount
	state
}

// The bits of an entry's state on the wire, below the running requests.
const (
	backloggedBit = 1
	carriedBit    = 2
	runningShift  = 2
)

func (s state) bits() uint32 {
	bits := s.running << runningShift
	if s.backlogged {
		bits |= backloggedBit
	}
	if s.carried {
		bits |= carriedBit
	}
	return bits
}

func stateOf(bits uint32) state {
	return state{backlogged: bits&backloggedBit != 0, carried: bits&carriedBit != 0, running: bits >> runningShift}
}

// columnsOf puts entries, ordered by key, into the form they are sent in.
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

// entriesOf reads entries; a column whose lists differ in length is left out.
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

// up makes the next Up: the accounts that changed of late or have work, as
// cumulative amounts.
func (l *Ledger) up(now model.Time) Send {
	p := l.parent
	p.sequence++
	snap := snapshot{subtree: map[model.Key]amount{}, children: map[string]mark{}, at: now}
	var entries []entry
	for _, key := range l.order {
		if p.downSeen == 0 {
			break // the parent's reign isn't known yet, and so what to say
		}
		a := l.accounts[key]
		s := l.subtreeState(key, a)
		if !s.backlogged && s.running == 0 && a.subtree == a.confirmed && now > a.touched+quietFor {
			continue
		}
		snap.subtree[key] = a.subtree
		entries = append(entries, entry{key, a.subtree.minus(p.base[key]), s})
	}
	for name, c := range l.children {
		snap.children[name] = mark{c.attachment, c.sequence}
	}
	p.sent[p.sequence] = snap
	delete(p.sent, p.sequence-unconfirmedUps)
	up := &wire.Up{Attachment: p.attachment, Sequence: p.sequence, Columns: columnsOf(entries)}
	if p.wantsView && l.known {
		up.View = &wire.Down{Root: l.reign.root, Term: l.reign.term, Columns: l.amounts(now, true)}
	}
	up.NoView = p.wantsView && !l.known
	l.nextUp = now + paced(len(entries), 1)
	return Send{To: p.parent, Up: up}
}

// amounts returns the fleet's service: of all accounts, or of those that have
// work or changed of late.
func (l *Ledger) amounts(now model.Time, all bool) []*wire.Column {
	var entries []entry
	for _, key := range l.order {
		a := l.accounts[key]
		if all || a.backlogged || a.running > 0 || now <= a.touched+quietFor {
			entries = append(entries, entry{key, amount{given: a.virtual}, state{a.backlogged, a.unlifted, a.running}})
		}
	}
	return columnsOf(entries)
}

// downs makes the next Down for each child.
func (l *Ledger) downs(now model.Time) []Send {
	l.downSeq++
	l.fresh = false
	columns := l.amounts(now, false)
	var out []Send
	for _, kid := range l.kids {
		down := &wire.Down{
			Root: l.reign.root, Term: l.reign.term,
			FromRoot: l.from.root, FromTerm: l.from.term,
			Sequence: l.downSeq, Columns: columns,
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
	entries := 0
	for _, c := range columns {
		entries += len(c.Accounts)
	}
	l.nextDown = now + paced(entries, len(l.kids))
	return out
}

// ReceiveUp takes a child's service.
func (l *Ledger) ReceiveUp(now model.Time, from string, up *wire.Up) []Send {
	if !l.isKid(from) {
		return nil
	}
	c := l.childOf(from, up.Attachment)
	if up.Sequence <= c.sequence {
		return nil
	}
	if l.isRoot && !l.known {
		c.noView = up.NoView
		if up.View == nil {
			return []Send{{To: from, Down: &wire.Down{Attachment: up.Attachment}}}
		}
		l.adopt(up.View)
	}
	c.sequence = up.Sequence
	l.takeEntries(now, c, entriesOf(up.Columns))
	return nil
}

// adopt continues a view of the fleet's service, on top of which stands what
// this router has taken in itself since its start.
func (l *Ledger) adopt(view *wire.Down) {
	l.reign = reign{root: view.Root, term: view.Term}
	for _, e := range entriesOf(view.Columns) {
		a := l.get(e.key)
		a.virtual += e.service.given
		a.backlogged = e.backlogged
		a.unlifted = e.carried
	}
	l.beginReign()
}

func (l *Ledger) takeEntries(now model.Time, c *child, entries []entry) {
	last := make(map[model.Key]entry, len(entries))
	for _, e := range entries {
		a := l.get(e.key)
		if more := e.service.minus(c.last[e.key].service); more != (amount{}) {
			l.take(a, more)
			a.touched = now
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
		l.refreshRoot(now, key, l.accounts[key])
	}
}

// ReceiveDown takes the fleet's service from the parent.
func (l *Ledger) ReceiveDown(now model.Time, from string, down *wire.Down) {
	p := l.parent
	if p == nil || p.parent != from || down.Attachment != p.attachment {
		return
	}
	if down.Root == "" {
		l.offerView(now)
		return
	}
	stale := down.Root == l.reign.root && down.Term < l.reign.term
	if stale || down.Sequence <= p.downSeen {
		return
	}
	p.downSeen = down.Sequence
	p.wantsView = false
	if told := (reign{root: down.Root, term: down.Term}); told != l.reign {
		l.carry(l.reign == reign{root: down.FromRoot, term: down.FromTerm})
		l.yieldReign(down)
		l.reign = told
	}
	l.from = reign{root: down.FromRoot, term: down.FromTerm}
	l.known = true
	l.fresh = true
	l.confirm(now, down.IncludedSequence)
	l.takeDown(now, entriesOf(down.Columns))
}

// offerView sends this router's view to a parent that has none, where it has one
// itself.
func (l *Ledger) offerView(now model.Time) {
	if l.known && !l.parent.wantsView {
		l.nextUp = now
	}
	l.parent.wantsView = true
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

func (l *Ledger) takeDown(now model.Time, entries []entry) {
	told := make(map[model.Key]bool, len(entries))
	for _, e := range entries {
		a := l.get(e.key)
		if a.virtual != e.service.given {
			a.touched = now
		}
		a.virtual = e.service.given
		a.backlogged = e.backlogged
		a.unlifted = e.carried
		a.running = e.running
		told[e.key] = true
	}
	for key, a := range l.accounts {
		if !told[key] {
			a.backlogged = false
			a.running = 0
		}
	}
}
