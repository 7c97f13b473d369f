package prompt

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// overdue is how much later than expected an answer must begin for the estimate of what
// was read to be held back.
const overdue = 40 * time.Millisecond

// server is what is known of a backend server.
type server struct {
	Backend
	id       model.BackendID
	engine   bool
	room     float64 // tokens read after which a part that wasn't used has given way
	pace     *pace   // of its pool
	copyRate float64 // tokens copied from another in a second, 0 for not at all
	gone     bool

	// sent counts the tokens sent that were to be read, by all routers as far as
	// known; read estimates how many of these have been read. Both only grow.
	sent float64
	read float64
	at   model.Time // of the estimate

	flights []*flight // from here, in the order they were sent
	remote  int       // running for other routers, by their load reports
	others  others    // what other routers send there
	foreign float64   // tokens that they have told to have sent
	assumed float64   // tokens that others may have sent, before any was heard

	// untold counts the tokens sent from here that the other routers don't know of;
	// toldRunning is how many requests they take to run from here, as told at toldAt;
	// unsettled tells that this is to be reported once more.
	untold      float64
	toldRunning int
	toldAt      model.Time
	unsettled   bool
	kept        kept
	health      health
	cold        coldStart
}

// flight is one request on its way.
type flight struct {
	sent   model.Time
	end    float64 // the server's count of tokens sent, once it was sent
	unread float64
	ahead  time.Duration // expected until it is read itself
	copied bool          // parts of its prompt are copied from another
	alone  bool          // no other router is expected to have sent anything ahead of it
	others float64       // the server's count of tokens sent by others, once it was sent
	began  bool
	delay  time.Duration // expected until the answer begins
	// ifKept and ifCold are when the answer would begin if the shared parts, of
	// which this router doesn't know, are kept or aren't; 0 where it knows.
	ifKept, ifCold time.Duration
}

func newServer(id model.BackendID, now model.Time) *server {
	return &server{id: id, at: now, kept: newKept(), pace: newPace()}
}

// takes tells whether anything new may be sent to a backend server at present.
func (m *Machine) takes(s *server) bool {
	return s.serves() && m.notices.Takes(m.now, s.id) && !s.health.out(m.now) && s.cold.takes(m.now)
}

// serves tells whether it is there to be sent to, whatever its state at present.
func (s *server) serves() bool { return !s.Leaving && !s.Evacuated }

// advance lets the estimate of what was read grow.
func (s *server) advance(now model.Time) {
	if now <= s.at {
		return
	}
	s.read = min(s.read+s.pace.rate*(now-s.at).Seconds()/s.health.slowness(), s.sent)
	s.at = now
	for _, f := range s.flights {
		if !f.began {
			if now > f.sent+f.delay+overdue {
				s.read = min(s.read, max(f.end-f.unread/2, 0))
			}
			break
		}
	}
}

// backlog returns the tokens that are expected to be still unread.
func (s *server) backlog(now model.Time) float64 {
	s.advance(now)
	return s.sent - s.read + s.unseen(now) + s.assumed
}

// running returns how many requests run there, as far as known.
func (s *server) running() int { return len(s.flights) + s.remote }

// reading returns how long it takes to read so many tokens.
func (s *server) reading(tokens float64) time.Duration {
	if s.pace.rate <= 0 {
		return 0
	}
	return time.Duration(tokens / s.pace.rate * s.health.slowness() * float64(time.Second))
}

// send counts a request that is sent there.
func (s *server) send(now model.Time, unread float64, delay time.Duration) *flight {
	s.advance(now)
	s.sent += unread
	s.untold += unread
	f := &flight{sent: now, end: s.sent, unread: unread, delay: delay, others: s.foreign}
	f.alone = s.reading(s.unseen(now)+s.assumed) <= idleAhead
	s.flights = append(s.flights, f)
	return f
}

// sentElsewhere counts tokens that another router has sent there.
func (s *server) sentElsewhere(now model.Time, tokens float64) {
	s.advance(now)
	s.sent += tokens
	s.foreign += tokens
	s.others.add(now, tokens)
}

// undisturbed tells whether nothing that other routers have sent may have been ahead of a
// request, as far as their load reports tell until its answer begins.
func (s *server) undisturbed(f *flight) bool {
	return f.alone && s.reading(s.foreign-f.others) <= idleAhead
}

// began takes that an answer has begun: all that was sent before has been read.
func (s *server) began(now model.Time, f *flight) {
	s.advance(now)
	f.began = true
	s.read = max(s.read, f.end)
	s.health.began(now-f.sent, f.delay)
}

// finished takes that a request has ended.
func (s *server) finished(now model.Time, f *flight, ending Ending, random *rand.Rand) {
	s.advance(now)
	s.flights = slices.DeleteFunc(s.flights, func(o *flight) bool { return o == f })
	if !f.began && ending != Done {
		// Its tokens won't be read.
		s.sent = max(s.sent-f.unread, s.read)
		for _, o := range s.flights {
			if o.end > f.end {
				o.end -= f.unread
			}
		}
	}
	s.health.finished(now, ending, random)
}
