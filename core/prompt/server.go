package prompt

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// overdueMargin is how much later than expected an answer must begin for the prefill estimate to be limited.
const overdueMargin = 40 * time.Millisecond

// server is the estimated state of a backend server.
type server struct {
	Backend
	id          model.BackendID
	engine      bool
	cacheTokens float64       // tokens prefilled after which an unused part is considered evicted
	latency     *latencyModel // latency model of its pool
	copyRate    float64       // tokens copied from another backend server per second, 0 if not supported

	// sentTokens counts the tokens to prefill sent by all routers, as far as reported; prefilledTokens estimates how
	// many of these have been prefilled.
	sentTokens      float64
	prefilledTokens float64
	updated         model.Time // time of the estimate

	flights       []*flight     // dispatched by this router, in order
	remoteRunning int           // running for other routers, as reported
	remoteTraffic remoteTraffic // rate of what other routers send
	remoteTokens  float64       // tokens that other routers have reported as sent
	assumedTokens float64       // tokens that other routers may have sent before the first report was received

	// unreported counts the tokens sent by this router that have not been reported to the others. reportedRunning is
	// the number of running requests last reported, at reportedAt. repeatPending is set if that report is to be
	// repeated.
	unreported      float64
	reportedRunning int
	reportedAt      model.Time
	repeatPending   bool
	cache           prefixCache
	health          health
	cold            coldStart
}

// flight is a request in flight.
type flight struct {
	sent          model.Time
	endOffset     float64 // the server's sentTokens just after the dispatch
	prefillTokens float64
	queueDelay    time.Duration // expected until its own prefill begins
	copied        bool          // parts of its prompt are copied from another backend server
	uncontended   bool          // no request of another router is expected ahead of it
	remoteTokens  float64       // the server's remoteTokens just after the dispatch
	began         bool
	expectedDelay time.Duration // expected until the answer begins
	// beginIfCached and beginIfUncached are the expected times until the answer begins if the shared parts are cached
	// at the home or not; 0 if this router has a record of them.
	beginIfCached, beginIfUncached time.Duration
}

func newServer(id model.BackendID, now model.Time) *server {
	return &server{id: id, updated: now, cache: newPrefixCache(), latency: newLatencyModel()}
}

// accepts reports whether a new request may be dispatched to a backend server now.
func (m *Machine) accepts(s *server) bool {
	return s.inService() && m.notices.Accepts(m.now, s.id) && !s.health.excluded(m.now) && s.cold.accepts(m.now)
}

// acceptsLastResort reports whether a request that resumes a stream may be dispatched to a backend server if no other of
// its version accepts it. A recent failure, even of the request itself, doesn't exclude the server then: it may have
// ended a single answer only.
func (m *Machine) acceptsLastResort(s *server) bool {
	return s.inService() && m.notices.Accepts(m.now, s.id) && s.cold.accepts(m.now)
}

// Unreachable reports whether this router could not reach a backend server lately, or it failed too often to get new
// requests.
func (m *Machine) Unreachable(now model.Time, id model.BackendID) bool {
	s := m.servers[id]
	return s != nil && s.health.unreachable(now)
}

// inService reports whether the backend server is neither leaving nor evacuated, whatever its current state.
func (s *server) inService() bool { return !s.Leaving && !s.Evacuated }

// advance updates the prefill estimate.
func (s *server) advance(now model.Time) {
	if now <= s.updated {
		return
	}
	s.prefilledTokens = min(s.prefilledTokens+s.latency.rate*(now-s.updated).Seconds()/s.health.slowness(), s.sentTokens)
	s.updated = now
	for _, f := range s.flights {
		if !f.began {
			if now > f.sent+f.expectedDelay+overdueMargin {
				s.prefilledTokens = min(s.prefilledTokens, max(f.endOffset-f.prefillTokens/2, 0))
			}
			break
		}
	}
}

// backlog returns the expected number of tokens that are not prefilled yet.
func (s *server) backlog(now model.Time) float64 {
	s.advance(now)
	return s.sentTokens - s.prefilledTokens + s.expectedUnreported(now) + s.assumedTokens
}

// running returns the number of requests running there, as far as reported.
func (s *server) running() int { return len(s.flights) + s.remoteRunning }

// prefillTime returns how long prefilling the given number of tokens takes.
func (s *server) prefillTime(tokens float64) time.Duration {
	if s.latency.rate <= 0 {
		return 0
	}
	return time.Duration(tokens / s.latency.rate * s.health.slowness() * float64(time.Second))
}

// send records a dispatched request.
func (s *server) send(now model.Time, prefillTokens float64, expectedDelay time.Duration) *flight {
	s.advance(now)
	s.sentTokens += prefillTokens
	s.unreported += prefillTokens
	f := &flight{sent: now, endOffset: s.sentTokens, prefillTokens: prefillTokens, expectedDelay: expectedDelay,
		remoteTokens: s.remoteTokens}
	f.uncontended = s.prefillTime(s.expectedUnreported(now)+s.assumedTokens) <= maxIdleQueueDelay
	s.flights = append(s.flights, f)
	return f
}

// addRemote adds tokens reported as sent by another router.
func (s *server) addRemote(now model.Time, tokens float64) {
	s.advance(now)
	s.sentTokens += tokens
	s.remoteTokens += tokens
	s.remoteTraffic.add(now, tokens)
}

// isUncontended reports whether no tokens of other routers can have been ahead of a request, according to the load
// reports received until its answer begins.
func (s *server) isUncontended(f *flight) bool {
	return f.uncontended && s.prefillTime(s.remoteTokens-f.remoteTokens) <= maxIdleQueueDelay
}

// recordBegin records that an answer has begun, which implies that everything sent before has been prefilled.
func (s *server) recordBegin(now model.Time, f *flight) {
	s.advance(now)
	f.began = true
	s.prefilledTokens = max(s.prefilledTokens, f.endOffset)
	s.health.recordBegin(now-f.sent, f.expectedDelay)
}

// recordEnd records that a request has ended.
func (s *server) recordEnd(now model.Time, f *flight, ending Ending, random *rand.Rand) {
	s.advance(now)
	s.flights = slices.DeleteFunc(s.flights, func(o *flight) bool { return o == f })
	if !f.began && ending != Done {
		// Its tokens will not be prefilled.
		s.sentTokens = max(s.sentTokens-f.prefillTokens, s.prefilledTokens)
		for _, o := range s.flights {
			if o.endOffset > f.endOffset {
				o.endOffset -= f.prefillTokens
			}
		}
	}
	s.health.recordEnd(now, ending, random)
}
