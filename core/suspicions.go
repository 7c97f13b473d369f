package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/core/suspect"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// suspicionsInterval is the shortest time between two messages with known suspicions to a router whose digest
	// differs.
	suspicionsInterval = time.Second
	// maxSuspicionsSent is the maximum number of suspicions in such a message, at some 50 bytes each.
	maxSuspicionsSent = 64
)

// suspicions is the state of holding back requests during which backend servers end.
type suspicions struct {
	tracker  *suspect.Tracker
	version  uint64 // of the tracker, when it was last read
	accounts []model.AccountID
	held     map[model.Fingerprint]bool
	failed   map[model.Fingerprint]int // failed tries of the requests that are held back
	parts    map[model.Fingerprint]model.PromptPart
	lastSent map[string]model.Time // when suspicions were last sent, by router

	grantRequired bool                 // a try must be granted first, see RequestTry
	pendingTries  map[RequestID]Arrive // requests that wait for a TryAnswered
}

func newSuspicions(salt uint64) suspicions {
	return suspicions{tracker: suspect.New(salt), held: map[model.Fingerprint]bool{}, lastSent: map[string]model.Time{}, pendingTries: map[RequestID]Arrive{}}
}

// suspectIdentity is what a request may be held back by.
type suspectIdentity struct {
	fingerprint model.Fingerprint // 0 if no request of its account is under suspicion
	pool        model.PoolID
	shared      []model.Part // the parts of its prompt that other prompts may share
	try         bool         // it is sent though it is held back
}

func suspectIdentityOf(e Arrive) suspectIdentity {
	return suspectIdentity{fingerprint: e.Fingerprint, pool: e.Pool, shared: e.Prompt.Shared(), try: e.try}
}

// heldOf returns what of a request is held back: itself, or parts of its prompt.
func (c *Core) heldOf(s suspectIdentity) []model.Fingerprint {
	if !c.suspicions.tracker.HoldsAny() {
		return nil
	}
	fingerprints := suspect.PartFingerprints(s.pool, s.shared)
	if s.fingerprint != 0 {
		fingerprints = append(fingerprints, s.fingerprint)
	}
	return c.suspicions.tracker.HeldOf(fingerprints...)
}

// minHeldPause is the shortest Retry-After of a request that is held back: a try may be due at once, and be made by another
// one.
const minHeldPause = 300 * time.Millisecond

// heldRefusal returns the refusal of a request of which something is held back.
func (c *Core) heldRefusal(id RequestID, held []model.Fingerprint) Refuse {
	out := Refuse{ID: id, Reason: HeldPart, RetryAfter: minHeldPause}
	for _, f := range held {
		out.RetryAfter = max(out.RetryAfter, c.suspicions.tracker.NextTry(f)-c.now)
		if !c.suspicions.tracker.IsPart(f) {
			out.Reason = HeldBack
		}
	}
	return out
}

// heldSince reports whether a request that is about to be sent has been held back since it arrived, and returns its
// refusal.
func (c *Core) heldSince(id RequestID, s suspectIdentity) (Refuse, bool) {
	held := c.heldOf(s)
	if s.try || len(held) == 0 {
		return Refuse{}, false
	}
	return c.heldRefusal(id, held), true
}

// recordProof records that a request was run to a good end, which shows that no part of its prompt ends backend servers.
func (c *Core) recordProof(e Finish, s suspectIdentity) {
	if e.Ending == Done {
		c.suspicions.tracker.RecordPartAnswers(c.now, s.pool, s.shared)
	}
}

// holdBack refuses a request of which something is held back, or requests a grant for its try. It returns false if the
// request is to be processed further.
func (c *Core) holdBack(e Arrive) bool {
	held := c.heldOf(suspectIdentityOf(e))
	if len(held) == 0 {
		return false
	}
	verdict := c.suspicions.tracker.Check(c.now, held...)
	switch {
	case !verdict.Try:
		c.emit(c.heldRefusal(e.ID, held))
	case c.suspicions.grantRequired:
		c.suspicions.pendingTries[e.ID] = e
		c.emit(RequestTry{ID: e.ID, Fingerprint: held[0]})
	default:
		c.try(e, held)
	}
	return true
}

// RequireTryGrants makes each try subject to a grant that is requested by a RequestTry. Without it, routers whose tries
// are due at the same time would all try, as the notification of a try takes some tenths of a second.
func (c *Core) RequireTryGrants() { c.suspicions.grantRequired = true }

// try sends a request once more though something of it is held back, unless that may not be tried.
func (c *Core) try(e Arrive, held []model.Fingerprint) {
	tracker := c.suspicions.tracker
	if !tracker.StartTry(c.now, held...) {
		c.emit(c.heldRefusal(e.ID, held))
		return
	}
	for _, f := range held {
		c.emit(Tried{Fingerprint: f, Account: e.Account, Ends: len(tracker.Ends(f))})
	}
	e.try = true
	c.processArrival(e)
}

// tryAnswered continues with a request for whose try a grant was requested.
func (c *Core) tryAnswered(e TryAnswered) {
	waited, waits := c.suspicions.pendingTries[e.ID]
	if !waits {
		return // its caller has left
	}
	delete(c.suspicions.pendingTries, e.ID)
	held := c.heldOf(suspectIdentityOf(waited))
	if !e.Granted && len(held) > 0 {
		c.emit(c.heldRefusal(e.ID, held))
		return
	}
	c.try(waited, held)
}

// serverEnded records that a backend server has ended during a request.
func (c *Core) serverEnded(e ServerEnded) {
	end := suspect.End{Backend: e.Backend, At: c.now, Ran: e.RunTime, Begun: e.Begun}
	c.suspicions.tracker.RecordEnd(c.now, e.Fingerprint, e.Account, end)
	c.suspicions.tracker.RecordPartEnds(c.now, e.Pool, e.Shared, e.Account, end)
}

// answered records that a request got a complete answer.
func (c *Core) answered(e Answered) {
	c.suspicions.tracker.RecordAnswer(c.now, e.Fingerprint)
}

// mergeSuspicions merges suspicions received from another router.
func (c *Core) mergeSuspicions(received []*wire.Suspicion) {
	for _, in := range received {
		if s, ok := decodeSuspicion(c.now, in); ok {
			c.suspicions.tracker.Merge(c.now, s)
		}
	}
}

// restoreSuspicions adds the held-back requests read from the store.
func (c *Core) restoreSuspicions(stored []*wire.Suspicion) {
	for _, in := range stored {
		if s, ok := decodeSuspicion(c.now, in); ok {
			c.suspicions.tracker.Restore(c.now, s)
		}
	}
}

// sendMissingSuspicions sends a router the suspicions recorded here if its digest differs. Of more than
// maxSuspicionsSent it sends a random range.
func (c *Core) sendMissingSuspicions(d *wire.Datagram) {
	s := &c.suspicions
	if d.SuspicionsDigest == s.tracker.Digest() || c.now < s.lastSent[d.From]+suspicionsInterval {
		return
	}
	known := s.tracker.Entries()
	if len(known) == 0 {
		return
	}
	s.lastSent[d.From] = c.now
	if n := len(known); n > maxSuspicionsSent {
		at := c.random.IntN(n)
		known = slices.Concat(known[at:], known[:at])[:maxSuspicionsSent]
	}
	c.datagramTo(d.From).Suspicions = encodeSuspicions(c.now, known)
}

// reportSuspicionChanges reports changes of the requests that are held back, and of the client accounts whose requests
// are to be fingerprinted.
func (c *Core) reportSuspicionChanges() {
	s := &c.suspicions
	if s.tracker.NextSend() <= c.now {
		c.loads.changed = true
	}
	if s.tracker.Version() == s.version {
		return
	}
	s.version = s.tracker.Version()
	if accounts := s.tracker.Accounts(); !slices.Equal(accounts, s.accounts) {
		s.accounts = accounts
		c.emit(SuspectedAccounts{Accounts: accounts})
	}
	held, failed, parts := map[model.Fingerprint]bool{}, map[model.Fingerprint]int{}, map[model.Fingerprint]model.PromptPart{}
	for _, h := range s.tracker.Held() {
		f := h.Fingerprint
		held[f], failed[f], parts[f] = true, s.tracker.Failed(f), h.Part
		if !s.held[f] || failed[f] > s.failed[f] {
			c.emit(HeldChanged{
				Held: true, Failed: s.held[f], Seen: s.tracker.Observed(f), Suspicion: encodeSuspicion(c.now, h), Pool: c.poolName(h.Part),
			})
		}
	}
	for _, f := range sortedKeys(s.held) {
		if !held[f] {
			part := s.parts[f]
			released := &wire.Suspicion{Fingerprint: uint64(f), Pool: uint32(part.Pool), Part: part.ID}
			c.emit(HeldChanged{Seen: s.tracker.Observed(f), Suspicion: released, Pool: c.poolName(part)})
		}
	}
	s.held, s.failed, s.parts = held, failed, parts
}

// poolName returns the name of the pool of a part of prompts, "" if there is none.
func (c *Core) poolName(part model.PromptPart) string { return c.config.Pools[part.Pool].Name }

// The bits of a mark in a message.
const (
	markBegun = 1 << iota
	markTry
)

func encodeSuspicions(now model.Time, in []suspect.Suspicion) []*wire.Suspicion {
	var out []*wire.Suspicion
	for _, s := range in {
		out = append(out, encodeSuspicion(now, s))
	}
	return out
}

func encodeSuspicion(now model.Time, in suspect.Suspicion) *wire.Suspicion {
	out := &wire.Suspicion{
		Fingerprint: uint64(in.Fingerprint), Account: uint32(in.Account),
		AnsweredMs: sinceMs(now, in.Answered), TriedMs: sinceMs(now, in.Tried),
		Pool: uint32(in.Part.Pool), Part: in.Part.ID,
	}
	for _, end := range in.Ends {
		marks := uint32(0)
		if end.Begun {
			marks |= markBegun
		}
		if end.Try {
			marks |= markTry
		}
		out.Backends = append(out.Backends, uint32(end.Backend))
		out.EndedMs = append(out.EndedMs, milliseconds(now-end.At))
		out.RanUs = append(out.RanUs, uint32(min(max(end.Ran.Microseconds(), 0), maxRun.Microseconds())))
		out.Marks = append(out.Marks, marks)
	}
	return out
}

// decodeSuspicion decodes a suspicion from a message. ok is false if the message is malformed.
func decodeSuspicion(now model.Time, in *wire.Suspicion) (out suspect.Suspicion, ok bool) {
	n := len(in.Backends)
	if in.Fingerprint == 0 || len(in.EndedMs) != n || len(in.RanUs) != n || len(in.Marks) != n {
		return out, false
	}
	out = suspect.Suspicion{
		Fingerprint: model.Fingerprint(in.Fingerprint), Account: model.AccountID(in.Account),
		Part:     model.PromptPart{Pool: model.PoolID(in.Pool), ID: in.Part},
		Answered: timeBefore(now, in.AnsweredMs), Tried: timeBefore(now, in.TriedMs),
	}
	if out.Part != (model.PromptPart{}) && out.Part.Fingerprint() != out.Fingerprint {
		return out, false
	}
	for i, backend := range in.Backends {
		out.Ends = append(out.Ends, suspect.End{
			Backend: model.BackendID(backend), At: now - fromMilliseconds(in.EndedMs[i]), Ran: time.Duration(in.RanUs[i]) * time.Microsecond,
			Begun: in.Marks[i]&markBegun != 0, Try: in.Marks[i]&markTry != 0,
		})
	}
	return out, true
}

// sinceMs returns the time from at to now in milliseconds plus one, or 0 for never.
func sinceMs(now, at model.Time) uint32 {
	if at == suspect.Never {
		return 0
	}
	return milliseconds(now-at) + 1
}

// timeBefore is the inverse of sinceMs.
func timeBefore(now model.Time, ms uint32) model.Time {
	if ms == 0 {
		return suspect.Never
	}
	return now - fromMilliseconds(ms-1)
}

// maxRun limits the run time of a request in a message.
const maxRun = time.Hour

// maxMilliseconds limits the times in messages: a day.
const maxMilliseconds = 24 * 60 * 60 * 1000

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), maxMilliseconds))
}

func fromMilliseconds(ms uint32) time.Duration {
	return time.Duration(min(ms, maxMilliseconds)) * time.Millisecond
}
