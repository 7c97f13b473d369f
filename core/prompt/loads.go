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

// maxPlacements is how many placements are told at once.
const maxPlacements = 64

// Load is what a router has newly got on a backend server.
type Load struct {
	Backend model.BackendID
	Sent    uint64 // tokens sent to be read, since the report before
	Running uint32
}

// LoadReport is what a router tells the others at once.
type LoadReport struct {
	Sequence   uint64 // increases with each report of a process
	Loads      []Load
	Placements []Placement
	Accounts   []AccountIncrement
}

// peerLoad is what another router has told.
type peerLoad struct {
	process  uint32
	past     uint32     // its process before, whose reports may still be passed on; 0 for none
	sequence uint64     // of its last report
	at       model.Time // when it was last heard, or said to have nothing new
	told     model.Time // when its last report came
	runs     map[model.BackendID]uint32
}

// tell notes for the other routers that a backend server was sent a part, unless they
// know and hold it for kept still.
func (m *Machine) tell(s *server, part uint32) {
	if len(m.placements) < maxPlacements && s.kept.tell(s.sent, part, s.room) {
		m.placements = append(m.placements, Placement{Backend: s.id, Part: part})
	}
}

// settleAfter is how long after its last report a backend server is told of once more, as
// that report may have been lost: a further one would have put it right.
const settleAfter = time.Second

// restateAfter is how long after its last report a backend server is told of again as long
// as anything runs there: a router that has started, or was cut off, has missed the load reports
// before. Most answers end sooner, so that this seldom takes a load report of its own.
const restateAfter = 3 * time.Second

// ReportLoads returns what the other routers don't know yet, and takes it as told; settled
// tells whether nothing of it is to be told once more.
func (m *Machine) ReportLoads() (report LoadReport, settled bool) {
	settled = true
	for _, id := range m.order {
		s := m.servers[id]
		news := s.untold >= 1 || s.toldRunning != len(s.flights)
		repeat := s.unsettled && m.now >= s.toldAt+settleAfter
		restate := s.toldRunning > 0 && m.now >= s.toldAt+restateAfter
		if news || repeat || restate {
			report.Loads = append(report.Loads, s.told(m.now, news))
		}
		settled = settled && !s.unsettled && s.toldRunning == 0
	}
	report.Placements, m.placements = m.placements, nil
	for _, account := range m.shares.order {
		if n, isNew := m.shares.accounts[account].tell(account); isNew {
			report.Accounts = append(report.Accounts, n)
		}
	}
	return report, settled
}

// Restate lets the next report tell of everything that runs, and tells whether anything does.
func (m *Machine) Restate() bool {
	runs := false
	for _, s := range m.servers {
		s.toldAt = min(s.toldAt, m.now-restateAfter)
		runs = runs || len(s.flights) > 0
	}
	return runs
}

// told returns a backend server's part of a load report and takes it as told.
func (s *server) told(now model.Time, news bool) Load {
	l := Load{Backend: s.id, Sent: uint64(s.untold), Running: uint32(len(s.flights))}
	s.untold -= float64(l.Sent)
	s.toldRunning = len(s.flights)
	s.toldAt = now
	s.unsettled = news
	return l
}

// TakeLoadReport takes what a process of another router has told of itself, and tells whether
// it is new.
func (m *Machine) TakeLoadReport(now model.Time, router string, process uint32, w LoadReport) bool {
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
	p.at, p.told = m.now, m.now
	m.endUnheard()
	for _, l := range w.Loads {
		if s := m.servers[l.Backend]; s != nil {
			s.sentElsewhere(m.now, float64(l.Sent))
			s.remote += int(l.Running) - int(p.runs[l.Backend])
			p.runs[l.Backend] = l.Running
		}
	}
	for _, n := range w.Placements {
		if s := m.servers[n.Backend]; s != nil {
			s.kept.touch(s.sent, n.Part, s.room)
		}
	}
	for _, n := range w.Accounts {
		m.shares.of(n.Account).now.add(Usage{float64(n.Asked), float64(n.Begun)})
	}
	return true
}

// pastKept is how long reports of a process are left out after others came that made it the one before.
const pastKept = time.Second

// Readmit lets a router's process be heard that was taken for the one before, as a late report
// of that one came after its first; the caller knows that it is the present one.
func (m *Machine) Readmit(now model.Time, router string, process uint32) {
	if p := m.peers[router]; p != nil && p.past == process && now >= p.told+pastKept {
		m.ForgetRouter(router)
	}
}

// NothingNew takes that a router has nothing to tell beyond what it told before.
func (m *Machine) NothingNew(now model.Time, router string) {
	m.now = max(m.now, now)
	p := m.peers[router]
	if p == nil {
		p = &peerLoad{runs: map[model.BackendID]uint32{}}
		m.peers[router] = p
	}
	p.at = m.now
}

// Running returns how many requests run at a backend server, as far as is known here.
func (m *Machine) Running(id model.BackendID) int {
	if s := m.servers[id]; s != nil {
		return s.running()
	}
	return 0
}

// oldestReport returns how old the oldest knowledge of another router's load is.
func (m *Machine) oldestReport() time.Duration {
	age := time.Duration(0)
	for _, p := range m.peers {
		age = max(age, m.now-p.at)
	}
	return age
}

// MeanAge returns how old the last load reports of the other routers are in the mean; it is
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

// Heard is what was last heard of another router.
type Heard struct {
	At       model.Time
	Process  uint32
	Sequence uint64 // of its last load report, 0 for none
}

// HeardOf returns what was last heard of a router.
func (m *Machine) HeardOf(router string) Heard {
	p := m.peers[router]
	if p == nil {
		return Heard{}
	}
	return Heard{At: p.at, Process: p.process, Sequence: p.sequence}
}

// Knows tells whether the last report of a router was of a certain process.
func (m *Machine) Knows(router string, process uint32) bool {
	p := m.peers[router]
	return p != nil && p.process == process
}

// unheardKept is how long what a router has running is reckoned with after its last report:
// it tells of it again within restateAfter, so that one which doesn't has ended, though the
// notice of it hasn't come.
const unheardKept = 3 * restateAfter

// forgetUnheard takes back what routers have running that aren't heard any more.
func (m *Machine) forgetUnheard() {
	for _, p := range m.peers {
		if len(p.runs) > 0 && m.now > p.told+unheardKept {
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
