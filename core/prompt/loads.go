package prompt

import (
	"slices"
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

// Load is what a router has on a backend server.
type Load struct {
	Backend model.BackendID
	Sent    uint64 // tokens sent to be read, since the router's start
	Running uint32
}

// peerLoad is what another router has told.
type peerLoad struct {
	boot uint64
	at   model.Time // when it was last heard
	sent map[model.BackendID]uint64
	runs map[model.BackendID]uint32
}

// tell notes a placement for the other routers.
func (m *Machine) tell(id model.BackendID, part uint32) {
	p := Placement{Backend: id, Part: part}
	if len(m.news) < maxNews && !slices.Contains(m.news, p) {
		m.news = append(m.news, p)
	}
}

// News returns the placements since the last call.
func (m *Machine) News() []Placement {
	out := m.news
	m.news = nil
	return out
}

// toldFor is how long a backend server is told of after its last change.
const toldFor = 3 * time.Second

// Loads returns what this router has on the backend servers, as far as that has
// changed of late.
func (m *Machine) Loads() []Load {
	var out []Load
	for _, id := range m.order {
		s := m.servers[id]
		if s.ownSent > 0 && m.now <= s.touched+toldFor {
			out = append(out, Load{Backend: id, Sent: uint64(s.ownSent), Running: uint32(len(s.flights))})
		}
	}
	return out
}

// TakeLoads takes what another router has told of itself. Of a process that is
// heard for the first time only what it sends from then on is counted.
func (m *Machine) TakeLoads(now model.Time, router string, boot uint64, loads []Load, news []Placement) {
	m.now = max(m.now, now)
	p := m.peers[router]
	first := p == nil || p.boot != boot
	if first {
		m.ForgetRouter(router)
		p = &peerLoad{boot: boot, sent: map[model.BackendID]uint64{}, runs: map[model.BackendID]uint32{}}
		m.peers[router] = p
	}
	p.at = m.now
	for _, l := range loads {
		if s := m.servers[l.Backend]; s != nil {
			if before := p.sent[l.Backend]; !first && l.Sent > before {
				s.sentElsewhere(m.now, float64(l.Sent-before))
			}
			s.remote += int(l.Running) - int(p.runs[l.Backend])
			p.runs[l.Backend] = l.Running
		}
		p.sent[l.Backend] = max(p.sent[l.Backend], l.Sent)
	}
	for _, n := range news {
		if s := m.servers[n.Backend]; s != nil {
			s.kept.touch(s.sent, n.Part, s.room)
		}
	}
}

// oldestWord returns the age of the oldest word of another router.
func (m *Machine) oldestWord() time.Duration {
	age := time.Duration(0)
	for _, p := range m.peers {
		age = max(age, m.now-p.at)
	}
	return age
}

// ForgetRouter takes back what a router that is gone had running.
func (m *Machine) ForgetRouter(router string) {
	p := m.peers[router]
	if p == nil {
		return
	}
	for id, running := range p.runs {
		if s := m.servers[id]; s != nil {
			s.remote = max(s.remote-int(running), 0)
		}
	}
	delete(m.peers, router)
}
