package prompt

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Placement tells that a backend server was sent a part of a prompt.
type Placement struct {
	Backend model.BackendID
	Part    uint32
}

// maxNews is how many placements are told at once.
const maxNews = 64

// Load is what a router has newly got on a backend server.
type Load struct {
	Backend model.BackendID
	Sent    uint64 // tokens sent to be read, since the word before
	Running uint32
}

// Word is what a router tells the others at once.
type Word struct {
	Sequence uint64 // increases with each word of a process
	Loads    []Load
	News     []Placement
	Accounts []AccountNews
}

// peerLoad is what another router has told.
type peerLoad struct {
	process  uint32
	past     uint32     // its process before, whose words may still be passed on; 0 for none
	sequence uint64     // of its last word
	at       model.Time // when it was last heard
	runs     map[model.BackendID]uint32
}

// tell notes for the other routers that a backend server was sent a part, unless they
// know and hold it for kept still.
func (m *Machine) tell(s *server, part uint32) {
	if len(m.news) < maxNews && s.kept.tell(s.sent, part, s.room) {
		m.news = append(m.news, Placement{Backend: s.id, Part: part})
	}
}

// settleAfter is how long after its last word a backend server is told of once more, as
// that word may have been lost: a further one would have put it right.
const settleAfter = time.Second

// restateAfter is how long after its last word a backend server is told of again as long
// as anything runs there: a router that has started, or was cut off, has missed the words
// before. Most answers end sooner, so that this seldom takes a word of its own.
const restateAfter = 3 * time.Second

// Tell returns what the other routers don't know yet, and takes it as told; settled
// tells whether nothing of it is to be told once more.
func (m *Machine) Tell() (word Word, settled bool) {
	settled = true
	for _, id := range m.order {
		s := m.servers[id]
		news := s.untold >= 1 || s.toldRunning != len(s.flights)
		repeat := s.unsettled && m.now >= s.toldAt+settleAfter
		restate := s.toldRunning > 0 && m.now >= s.toldAt+restateAfter
		if news || repeat || restate {
			word.Loads = append(word.Loads, s.told(m.now, news))
		}
		settled = settled && !s.unsettled && s.toldRunning == 0
	}
	word.News, m.news = m.news, nil
	for _, account := range m.shares.order {
		if n, isNew := m.shares.accounts[account].tell(account); isNew {
			word.Accounts = append(word.Accounts, n)
		}
	}
	return word, settled
}

// told returns a backend server's part of a word and takes it as told.
func (s *server) told(now model.Time, news bool) Load {
	l := Load{Backend: s.id, Sent: uint64(s.untold), Running: uint32(len(s.flights))}
	s.untold -= float64(l.Sent)
	s.toldRunning = len(s.flights)
	s.toldAt = now
	s.unsettled = news
	return l
}

// TakeWord takes what a process of another router has told of itself, and tells whether
// it is new.
func (m *Machine) TakeWord(now model.Time, router string, process uint32, w Word) bool {
	m.now = max(m.now, now)
	p := m.peers[router]
	if p != nil && p.past == process {
		return false
	}
	if p == nil || p.process != process {
		m.ForgetRouter(router)
		next := &peerLoad{process: process, runs: map[model.BackendID]uint32{}}
		if p != nil {
			next.past = p.process
		}
		p = next
		m.peers[router] = p
	}
	if w.Sequence <= p.sequence {
		return false
	}
	p.sequence = w.Sequence
	p.at = m.now
	m.endUnheard()
	for _, l := range w.Loads {
		if s := m.servers[l.Backend]; s != nil {
			s.sentElsewhere(m.now, float64(l.Sent))
			s.remote += int(l.Running) - int(p.runs[l.Backend])
			p.runs[l.Backend] = l.Running
		}
	}
	for _, n := range w.News {
		if s := m.servers[n.Backend]; s != nil {
			s.kept.touch(s.sent, n.Part, s.room)
		}
	}
	for _, n := range w.Accounts {
		m.shares.of(n.Account).now.add(Amounts{float64(n.Asked), float64(n.Begun)})
	}
	return true
}

// Running returns how many requests run at a backend server, as far as is known here.
func (m *Machine) Running(id model.BackendID) int {
	if s := m.servers[id]; s != nil {
		return s.running()
	}
	return 0
}

// oldestWord returns the age of the oldest word of another router.
func (m *Machine) oldestWord() time.Duration {
	age := time.Duration(0)
	for _, p := range m.peers {
		age = max(age, m.now-p.at)
	}
	return age
}

// MeanAge returns how old the last words of the other routers are in the mean; it is
// measured by a benchmark of package core.
func (m *Machine) MeanAge() time.Duration {
	if len(m.peers) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, p := range m.peers {
		sum += m.now - p.at
	}
	return sum / time.Duration(len(m.peers))
}

// Knows tells whether the last word of a router was of a certain process.
func (m *Machine) Knows(router string, process uint32) bool {
	p := m.peers[router]
	return p != nil && p.process == process
}

// unheardKept is how long what a router has running is reckoned with after its last word:
// it tells of it again within restateAfter, so that one which doesn't has ended, though the
// news of it hasn't come.
const unheardKept = 3 * restateAfter

// forgetUnheard takes back what routers have running that aren't heard any more.
func (m *Machine) forgetUnheard() {
	for _, p := range m.peers {
		if len(p.runs) > 0 && m.now > p.at+unheardKept {
			m.takeBack(p)
		}
	}
}

// ForgetRouter takes back what a router that is gone had running.
func (m *Machine) ForgetRouter(router string) {
	if p := m.peers[router]; p != nil {
		m.takeBack(p)
		delete(m.peers, router)
	}
}

// takeBack takes back what another router had running.
func (m *Machine) takeBack(p *peerLoad) {
	for id, running := range p.runs {
		if s := m.servers[id]; s != nil {
			s.remote = max(s.remote-int(running), 0)
		}
	}
	clear(p.runs)
}
