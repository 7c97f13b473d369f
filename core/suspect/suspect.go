// Package suspect records requests that were running on backend servers when these ended (crashed or were killed), and
// decides which requests are held back.
//
// A request may crash each backend server that begins to run it, and so abort all other requests that run there.
// Its caller sends it again, to any router, under another identifier; package fingerprint identifies repeated
// requests. A router sends each end that it observes to all others, so that the ends of one
// request are counted over the fleet.
//
// # Suspicion
//
// Each request that runs on a backend server when it ends is suspected, as the cause can't be
// determined from one end. A complete answer later clears a request of all earlier ends; one that crashes its
// backend servers never gets one. So only consecutive ends count:
//
//   - An end counts strongPoints if no part of the answer had been received, and weakPoints otherwise:
//     a request that crashes a backend server does so as it begins.
//   - It counts weakPoints as well if another backend server, on which the request didn't run,
//     ended at about the same time: both may have a common cause, such as the loss of a data hall.
//   - The same holds if a held-back request with more ends ran on the same backend server: it
//     explains the end.
//
// At heldThreshold points a request is held back: after two ends without another explanation, and after
// three at the latest.
//
// # Parts of prompts
//
// Requests that crash backend servers may have nothing in common but a part of their prompts, and each of them may come
// only once. So the same is recorded of each part that prompts may share, in each pool. Sound requests share
// the other parts, and any complete answer exonerates all parts of its prompt; the part that crashes backend servers is
// the one that never gets any. As a part runs on many backend servers at once, more ends are needed to hold it back, and
// those at the same time count little.
//
// # Tries
//
// A held-back request is sent again as a try after firstTryDelay, by the router that receives it first from then on. A
// complete answer clears it at all routers. If the backend server ends during the try without another explanation,
// the next try is made after failedTryDelay; after maxDoubtfulTries failed tries with another possible cause, after
// doubtfulTryDelay. So a request that crashes every backend server is sent once or twice in the two minutes after the
// first three sends.
//
// # Limits
//
// Ends and tries reach other routers some tenths of a second late: that many more sends, and tries unless they are
// requested first (Check), may happen there. Times received from others are as late. The state is lost with the
// process; other routers send theirs with the first datagrams (Digest), and package heldstore writes it to the
// store for the case that all routers end.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Weights of ends, and the sum at which a request is held back.
const (
	strongPoints  = 3
	weakPoints    = 2
	heldThreshold = 6
)

const (
	// correlatedWithin is the largest time between the ends of two backend servers that may have a common
	// cause: the loss of a data hall or a rack takes some milliseconds, and reports of it arrive late.
	correlatedWithin = 250 * time.Millisecond
	// sameEndWithin is the largest difference between the times at which two routers observe the same end. A backend
	// server takes longer to restart under its name.
	sameEndWithin = 1500 * time.Millisecond
	// minRun is the shortest time from sending to an end that counts against a request: one
	// written to a backend server that had already ended can't be the cause.
	minRun = 5 * time.Millisecond

	// firstTryDelay, doubtfulTryDelay and failedTryDelay are the times that a request is held back until the next
	// try. Harmless requests must be served within ten seconds of the last end.
	firstTryDelay    = 4 * time.Second
	doubtfulTryDelay = 2 * time.Minute
	failedTryDelay   = 10 * time.Minute
	// maxDoubtfulTries is the number of failed tries with another possible cause from which on doubtfulTryDelay applies.
	maxDoubtfulTries = 2
	// tryJitter spreads the routers' tries, so that one router tries and the others are notified of it.
	tryJitter = 3 * time.Second
	// calmPeriod is the time without an end of a backend server before a try, as an end with another
	// cause would make the try inconclusive, and maxPostponement the longest time to wait for it.
	calmPeriod      = 1500 * time.Millisecond
	maxPostponement = 3 * time.Second
	// tryOutcomeWait is how long a router waits for the outcome of a try, its own or another router's.
	tryOutcomeWait = 5 * time.Second

	// entryTTL is how long a request is stored after its last end, answer or try.
	entryTTL = 15 * time.Minute
	// endTTL is how long the time of a backend server's end is stored.
	endTTL = time.Minute
	// maxEntries is the approximate number of requests stored; beyond it, those with the oldest events
	// that aren't held back are evicted. An entry takes some 300 bytes.
	maxEntries    = 2048
	pruneInterval = time.Second
	// maxEnds is the number of ends stored for a request: twice as many as hold it back.
	maxEnds = 8
)

// Never is the time of an event that hasn't happened.
const Never = model.Time(-1 << 62)

// End is the end of a backend server while a request was running there.
type End struct {
	Backend model.BackendID
	At      model.Time
	Ran     time.Duration // from sending the request to the end
	Begun   bool          // part of the answer had been received
	Try     bool          // the request was held back and sent as a try
}

// sent returns when the request was sent to the backend server.
func (e End) sent() model.Time { return e.At - e.Ran }

// Suspicion is the state of one suspected request or part of prompts, as routers exchange it. Receiving it repeatedly or
// late is harmless.
type Suspicion struct {
	Fingerprint model.Fingerprint
	Part        model.PromptPart // zero for a request
	Account     model.AccountID
	Ends        []End
	Answered    model.Time // when it last got a complete answer; earlier ends don't count
	Tried       model.Time // when it was last tried while held back
}

// Decision is the decision on a request that has arrived.
type Decision struct {
	Held       bool
	Try        bool          // the request is held back, but is sent now as a try
	RetryAfter time.Duration // if it is held back
	Ends       int           // number of ends that count
}

// Tracker is one router's state of the suspected requests.
type Tracker struct {
	salt     uint64 // differs between routers
	entries  map[model.Fingerprint]*entry
	ended    map[model.BackendID]model.Time
	answered map[model.Fingerprint]model.Time // last complete answers to prompts with the parts that aren't suspected
	held     map[model.Fingerprint]bool       // result of the last evaluation
	digest   uint64
	stale    bool       // held and digest must be recomputed
	nextSend model.Time // earliest nextSend of the entries
	pruned   model.Time
	version  uint64
}

// New returns an empty tracker. The salt must differ between routers.
func New(salt uint64) *Tracker {
	return &Tracker{
		salt: salt, entries: map[model.Fingerprint]*entry{}, ended: map[model.BackendID]model.Time{},
		answered: map[model.Fingerprint]model.Time{},
		held:     map[model.Fingerprint]bool{}, nextSend: MaxTime,
	}
}

// Version increases with each change of the state other than by StartTry.
func (b *Tracker) Version() uint64 { return b.version }

func (b *Tracker) markChanged() {
	b.stale = true
	b.version++
}

// RecordEnd records an end that this router has observed: of a backend server on which a request was running.
func (b *Tracker) RecordEnd(now model.Time, f model.Fingerprint, account model.AccountID, end End) {
	b.recordEnd(end)
	b.markChanged()
	if end.Ran < minRun {
		return
	}
	e := b.entry(f, account)
	end.Try = e.Tried > e.Answered && end.sent() >= e.Tried
	if e.add(end) {
		e.observed = true
		b.scheduleSend(now, e)
	}
	b.prune(now)
}

// recordEnd stores when a backend server last ended. Routers' times of the same end differ a little.
func (b *Tracker) recordEnd(end End) {
	if at, found := b.ended[end.Backend]; !found || end.At > at+sameEndWithin {
		b.ended[end.Backend] = end.At
	}
}

// RecordAnswer records that a request has got a complete answer, or that an operator releases it or a part, and reports
// whether it was held back.
func (b *Tracker) RecordAnswer(now model.Time, f model.Fingerprint) bool {
	e := b.entries[f]
	if e == nil || !e.suspected() {
		return false
	}
	wasHeld := b.isHeld(f)
	e.Answered, e.observed = now-e.grace(), true // later ends count
	b.markChanged()
	b.scheduleSend(now, e)
	return wasHeld
}

// Suspects reports whether any ends count against a request.
func (b *Tracker) Suspects(f model.Fingerprint) bool {
	e := b.entries[f]
	return e != nil && e.suspected()
}

// Observed reports whether this router has observed one of the ends of a request, or its last complete answer.
func (b *Tracker) Observed(f model.Fingerprint) bool {
	e := b.entries[f]
	return e != nil && e.observed
}

// Merge merges the state of a request received from another router.
func (b *Tracker) Merge(now model.Time, in Suspicion) {
	if b.entries[in.Fingerprint] == nil && len(in.Ends) == 0 {
		return
	}
	e := b.entryOf(in)
	changed := in.Tried > e.Tried || in.Answered > e.Answered
	switch {
	case e.isPart():
		b.mergePart(now, e, in)
	case in.Answered+correlatedWithin < e.Answered && len(in.Ends) > 0:
		b.scheduleSend(now, e) // the sender hasn't received the answer's time
	}
	e.Tried = max(e.Tried, in.Tried)
	e.Answered = max(e.Answered, in.Answered)
	for _, end := range in.Ends {
		b.recordEnd(end)
		changed = e.add(end) || changed
	}
	if changed {
		b.markChanged()
		b.prune(now)
	}
}

// Restore adds a request that the store holds as held back. It remains held back, whichever other backend servers ended
// at the same times.
func (b *Tracker) Restore(now model.Time, in Suspicion) {
	if len(in.Ends) == 0 {
		return
	}
	e := b.entryOf(in)
	e.restored = now
	for _, end := range in.Ends {
		e.add(end)
	}
	b.markChanged()
	b.prune(now)
}

// Held returns the state of each held-back request, sorted by fingerprint, as it is to be stored: an end
// with another possible cause isn't marked as that of a try.
func (b *Tracker) Held() []Suspicion {
	b.evaluate()
	var out []Suspicion
	for _, f := range slices.Sorted(maps.Keys(b.held)) {
		e := b.entries[f]
		held := e.snapshot()
		for i, end := range held.Ends {
			held.Ends[i].Try = end.Try && b.points(e, end, b.held) == strongPoints
		}
		out = append(out, held)
	}
	return out
}

// Entries returns the state of each request that Digest covers, sorted by fingerprint.
func (b *Tracker) Entries() []Suspicion {
	var out []Suspicion
	for _, f := range slices.Sorted(maps.Keys(b.entries)) {
		if e := b.entries[f]; e.inDigest() {
			out = append(out, e.snapshot())
		}
	}
	return out
}

// Digest returns a digest that is equal at routers with the same state, and 0 without entries. It covers requests with
// two ends or more: those with one are sent when the end is observed, and are seldom held back later.
func (b *Tracker) Digest() uint64 {
	b.evaluate()
	return b.digest
}

// Accounts returns the sorted accounts of the suspected requests, but not of parts, which are known without a
// fingerprint.
func (b *Tracker) Accounts() []model.AccountID {
	out := map[model.AccountID]bool{}
	for _, e := range b.entries {
		if e.suspected() && !e.isPart() {
			out[e.Account] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}

func (b *Tracker) isHeld(f model.Fingerprint) bool {
	b.evaluate()
	return b.held[f]
}

func (b *Tracker) entry(f model.Fingerprint, account model.AccountID) *entry {
	e := b.entries[f]
	if e == nil {
		e = &entry{Suspicion: Suspicion{Fingerprint: f, Account: account, Answered: Never, Tried: Never}, restored: Never, tryRequested: Never}
		b.entries[f] = e
	}
	return e
}

// entryOf returns the entry of a suspicion, a new one if there is none.
func (b *Tracker) entryOf(in Suspicion) *entry {
	if in.Part == (model.PromptPart{}) {
		return b.entry(in.Fingerprint, in.Account)
	}
	return b.partEntry(in.Fingerprint, in.Part, in.Account)
}

// prune deletes expired ends and entries, and the oldest entries beyond maxEntries. It iterates over all of them, so
// that it runs at most once per pruneInterval unless there are far too many.
func (b *Tracker) prune(now model.Time) {
	if now < b.pruned+pruneInterval && len(b.entries) <= maxEntries+maxEntries/8 {
		return
	}
	b.pruned = now
	maps.DeleteFunc(b.ended, func(_ model.BackendID, at model.Time) bool { return now-at > endTTL })
	maps.DeleteFunc(b.entries, func(_ model.Fingerprint, e *entry) bool { return now-e.lastEvent() > entryTTL })
	b.pruneParts(now)
	if len(b.entries) <= maxEntries {
		return
	}
	b.evaluate()
	var evictable []*entry
	for f, e := range b.entries {
		if !b.held[f] {
			evictable = append(evictable, e)
		}
	}
	slices.SortFunc(evictable, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(x.lastEvent(), y.lastEvent()), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	for _, e := range evictable[:min(len(evictable), len(b.entries)-maxEntries)] {
		delete(b.entries, e.Fingerprint)
	}
	b.markChanged()
}
