package prompt

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Placement reports that a part of a prompt was sent to a backend server.
type Placement struct {
	Backend model.BackendID
	Part    uint32
}

// maxPendingPlacements is the most placements in one report.
const maxPendingPlacements = 64

// Load is a router's load on a backend server.
type Load struct {
	Backend model.BackendID
	Sent    uint64 // tokens to prefill sent since the report before
	Running uint32
}

// LoadReport is a router's report to all other routers.
type LoadReport struct {
	Sequence   uint64 // increases with each report of a process
	Loads      []Load
	Placements []Placement
	Accounts   []AccountIncrement
}

// peerLoad is the reported load of another router.
type peerLoad struct {
	process         uint32
	previousProcess uint32     // process before, whose reports may still be relayed; 0 for none
	sequence        uint64     // of the last report
	lastContact     model.Time // time of the last report or of the last confirmation that nothing has changed
	lastReport      model.Time // time of the last report
	running         map[model.BackendID]uint32
}

// recordPlacement adds a placement to the next load report unless the other routers already consider the part as
// cached.
func (m *Machine) recordPlacement(s *server, part uint32) {
	if len(m.placements) < maxPendingPlacements && s.cache.takeUnreported(s.sentTokens, part, s.cacheTokens) {
		m.placements = append(m.placements, Placement{Backend: s.id, Part: part})
	}
}

// repeatAfter is how long after its last report a backend server is reported once more, as that report may have been
// lost; a later report would have corrected it.
const repeatAfter = time.Second

// refreshAfter is how long after its last report a backend server with running requests is reported again. A router
// that has started or was disconnected has missed the reports before. Most answers end sooner, so this seldom takes a
// report of its own.
const refreshAfter = 3 * time.Second

// ReportLoads returns what has changed since the last report and marks it as reported. complete reports whether
// nothing needs to be repeated or refreshed later.
func (m *Machine) ReportLoads() (report LoadReport, complete bool) {
	complete = true
	for _, id := range m.order {
		s := m.servers[id]
		changed := s.unreported >= 1 || s.reportedRunning != len(s.flights)
		repeat := s.repeatPending && m.now >= s.reportedAt+repeatAfter
		refresh := s.reportedRunning > 0 && m.now >= s.reportedAt+refreshAfter
		if changed || repeat || refresh {
			report.Loads = append(report.Loads, s.takeLoad(m.now, changed))
		}
		complete = complete && !s.repeatPending && s.reportedRunning == 0
	}
	report.Placements, m.placements = m.placements, nil
	for _, account := range m.shares.order {
		if n, isNew := m.shares.accounts[account].takeIncrement(account); isNew {
			report.Accounts = append(report.Accounts, n)
		}
	}
	return report, complete
}

// RefreshLoads makes the next report include all running requests, and reports whether there are any.
func (m *Machine) RefreshLoads() bool {
	running := false
	for _, s := range m.servers {
		s.reportedAt = min(s.reportedAt, m.now-refreshAfter)
		running = running || len(s.flights) > 0
	}
	return running
}

// takeLoad returns a backend server's entry for a load report and marks it as reported.
func (s *server) takeLoad(now model.Time, changed bool) Load {
	l := Load{Backend: s.id, Sent: uint64(s.unreported), Running: uint32(len(s.flights))}
	s.unreported -= float64(l.Sent)
	s.reportedRunning = len(s.flights)
	s.reportedAt = now
	s.repeatPending = changed
	return l
}

// ApplyLoadReport applies a load report of a process of another router, and reports whether it is new.
func (m *Machine) ApplyLoadReport(now model.Time, router string, process uint32, w LoadReport) bool {
	m.now = max(m.now, now)
	p := m.peers[router]
	if p != nil && p.previousProcess == process {
		return false
	}
	if p == nil || p.process != process {
		m.RemoveRouter(router)
		next := &peerLoad{process: process, running: map[model.BackendID]uint32{}}
		if p != nil {
			next.previousProcess = p.process
		}
		p = next
		m.peers[router] = p
	}
	if w.Sequence <= p.sequence {
		return false
	}
	p.sequence = w.Sequence
	p.lastContact, p.lastReport = m.now, m.now
	m.endStartupAssumption()
	for _, l := range w.Loads {
		if s := m.servers[l.Backend]; s != nil {
			s.addRemote(m.now, float64(l.Sent))
			s.remoteRunning += int(l.Running) - int(p.running[l.Backend])
			p.running[l.Backend] = l.Running
		}
	}
	for _, n := range w.Placements {
		if s := m.servers[n.Backend]; s != nil {
			s.cache.touch(s.sentTokens, n.Part, s.cacheTokens)
		}
	}
	for _, n := range w.Accounts {
		m.shares.historyOf(n.Account).total.add(Usage{float64(n.Requested), float64(n.Started)})
	}
	return true
}

// previousProcessTTL is how long after the last accepted report a process that is taken for the previous one is
// ignored.
const previousProcessTTL = time.Second

// AcceptProcess accepts a router's process again that was taken for the previous one because a delayed report of the
// previous process arrived after its first. The caller must have verified that it is the current process.
func (m *Machine) AcceptProcess(now model.Time, router string, process uint32) {
	if p := m.peers[router]; p != nil && p.previousProcess == process && now >= p.lastReport+previousProcessTTL {
		m.RemoveRouter(router)
	}
}

// ConfirmUnchanged records that nothing has changed since a router's last report.
func (m *Machine) ConfirmUnchanged(now model.Time, router string) {
	m.now = max(m.now, now)
	p := m.peers[router]
	if p == nil {
		p = &peerLoad{running: map[model.BackendID]uint32{}}
		m.peers[router] = p
	}
	p.lastContact = m.now
}

// Running returns the number of requests running at a backend server, as far as reported.
func (m *Machine) Running(id model.BackendID) int {
	if s := m.servers[id]; s != nil {
		return s.running()
	}
	return 0
}

// oldestContactAge returns the time since the last contact with the router that was contacted the longest ago.
func (m *Machine) oldestContactAge() time.Duration {
	age := time.Duration(0)
	for _, p := range m.peers {
		age = max(age, m.now-p.lastContact)
	}
	return age
}

// MeanContactAge returns the mean time since the last contact with the other routers. A benchmark of package core uses
// it.
func (m *Machine) MeanContactAge() time.Duration {
	if len(m.peers) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, p := range m.peers {
		sum += m.now - p.lastContact
	}
	return sum / time.Duration(len(m.peers))
}

// PeerContact is the state of the last contact with another router.
type PeerContact struct {
	At       model.Time
	Process  uint32
	Sequence uint64 // of its last load report, 0 for none
}

// LastContact returns the state of the last contact with a router.
func (m *Machine) LastContact(router string) PeerContact {
	p := m.peers[router]
	if p == nil {
		return PeerContact{}
	}
	return PeerContact{At: p.lastContact, Process: p.process, Sequence: p.sequence}
}

// MatchesLastReport reports whether the last report of a router came from the given process.
func (m *Machine) MatchesLastReport(router string, process uint32) bool {
	p := m.peers[router]
	return p != nil && p.process == process
}

// runningTTL is how long a router's running requests are counted after its last report. A router reports them again
// within refreshAfter, so one that doesn't has terminated, though it isn't recorded as dead yet.
const runningTTL = 3 * refreshAfter

// expireRunning removes the running requests of routers whose last report is too old.
func (m *Machine) expireRunning() {
	for _, p := range m.peers {
		if len(p.running) > 0 && m.now > p.lastReport+runningTTL {
			m.removeRunning(p)
		}
	}
}

// RemoveRouter removes a router and its running requests.
func (m *Machine) RemoveRouter(router string) {
	if p := m.peers[router]; p != nil {
		m.removeRunning(p)
		delete(m.peers, router)
	}
}

// removeRunning removes the running requests of another router.
func (m *Machine) removeRunning(p *peerLoad) {
	for id, running := range p.running {
		if s := m.servers[id]; s != nil {
			s.remoteRunning = max(s.remoteRunning-int(running), 0)
		}
	}
	clear(p.running)
}
