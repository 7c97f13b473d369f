// Package suspect keeps account of requests under which backend servers have ended, and decides
// when one of them is held back.
//
// A request may end each backend server that begins to run it, and with it all else that runs there.
// Its caller sends it again, to any router, under another identifier; package fingerprint tells that it
// is the same one. What a router sees of an end, it tells all others, so that the ends of one
// request add up wherever they were seen.
//
// # Who is suspected
//
// Whatever runs on a backend server as it ends is suspected a little, as nobody can tell which request
// ended it. What tells them apart is what comes next: a whole answer clears a request of all
// ends before it, and one that ends its servers never gets one. So only ends in a row count:
//
//   - An end counts strongPoints where nothing of the answer had come, and weakPoints where some had:
//     a request that ends its server does so as it begins.
//   - It counts weakPoints as well where another backend server, on which the request didn't run,
//     ended at about the same time: then both may have ended for a reason of their own, as when a data hall is lost.
//   - And where a request that is held back ran on the same backend server and has more ends to its
//     name: that one explains it.
//
// With heldFrom points a request is held back: after two ends that nothing else explains, and after
// three at the latest.
//
// # How a sound one gets out
//
// A held-back request is sent once more after a while, by the router at which it arrives first: if it
// gets a whole answer it is cleared everywhere. Where the ends might have had another reason that is after
// tryDoubtful, and again after tryAgain; else after tryCertain. Where a backend server ends by itself
// under a try, the next one waits for tryLast, and after two doubtful ones for tryRare. So of a request
// that ends each server one or two are sent in the two minutes after the first three.
//
// # Limits
//
// Routers hear of ends and tries some tenths of a second late: that many more sends may
// happen at other routers, and tries too unless they are asked for (Consider). Times that others tell are as late. What is known here is lost with the process;
// what others know comes with the first datagrams (Digest), and package heldstore keeps it in the
// store for the case that all routers end.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// The weight of ends, and the sum from which on a request is held back.
const (
	strongPoints = 3
	weakPoints   = 2
	heldFrom     = 6
)

const (
	// together is how far apart two backend servers end at the most that may have ended for one
	// reason: a lost data hall or a rack takes some milliseconds, and others tell of it late.
	together = 250 * time.Millisecond
	// sameEnd is how far apart two routers see the same end at the most. A backend server that starts again
	// under its name needs longer.
	sameEnd = 1500 * time.Millisecond
	// minRun is the shortest time from sending to an end that is held against a request: one that was
	// written to a backend server which had ended already can't have ended it.
	minRun = 5 * time.Millisecond

	// tryFirst, tryRare and tryLast are how long a request is held back until it is tried once
	// more. Sound ones are to be served within ten seconds of the last end.
	tryFirst = 4 * time.Second
	tryRare  = 2 * time.Minute
	tryLast  = 10 * time.Minute
	// doubtfulTries is how many tries may end doubtfully until the next one waits for tryRare.
	doubtfulTries = 2
	// tryJitter spreads the routers' times, so that one tries and the others hear of it.
	tryJitter = 3 * time.Second
	// calmFor is how long no backend server must have ended before a try, as one that ends for another
	// reason would make the try worthless, and postponed how long that is waited for at the most.
	calmFor   = 1500 * time.Millisecond
	postponed = 3 * time.Second
	// tryPause is how long a router that has heard of a try waits for what comes of it.
	tryPause = 5 * time.Second

	// kept is how long a request is kept account of after its last end or try.
	kept = 15 * time.Minute
	// endsKept is how long the time of a backend server's end is known.
	endsKept = time.Minute
	// maxEntries is about how many requests are kept account of; of more, those with the oldest ends
	// go that aren't held back. An entry takes some 300 bytes.
	maxEntries = 2048
	pruneEvery = time.Second
	// maxEnds is how many ends of one request are kept: twice as many as hold it back.
	maxEnds = 8
)

// Never is the time of what hasn't happened.
const Never = model.Time(-1 << 62)

// End is the end of a backend server while a request ran there.
type End struct {
	Backend model.BackendID
	At      model.Time
	Ran     time.Duration // from the request's sending to the end
	Begun   bool          // part of its answer had come
	Try     bool          // the request was held back, and sent as a try
}

// sent returns when the request was sent to the backend server.
func (e End) sent() model.Time { return e.At - e.Ran }

// Suspicion is what is held against one request, as routers tell each other. It is state: to take
// it twice, or late, does no harm.
type Suspicion struct {
	Fingerprint model.Fingerprint
	Account     model.AccountID
	Ends        []End
	Answered    model.Time // when it last got a whole answer; ends before don't count
	Tried       model.Time // when it was last tried while held back
}

// Verdict is what is to be done with a request.
type Verdict struct {
	Held       bool
	Try        bool          // it is held back, and sent this once
	RetryAfter time.Duration // where it is held
	Ends       int           // that count
}

// Book is what one router knows of requests under which backend servers have ended.
type Book struct {
	salt    uint64 // differs between routers
	entries map[model.Fingerprint]*entry
	ended   map[model.BackendID]model.Time
	held    map[model.Fingerprint]bool // as judged last
	digest  uint64
	stale   bool       // held and digest are to be worked out anew
	next    model.Time // when something is to be told
	pruned  model.Time
	version uint64
}

// New returns an empty book; the salt is another one at each router.
func New(salt uint64) *Book {
	return &Book{
		salt: salt, entries: map[model.Fingerprint]*entry{}, ended: map[model.BackendID]model.Time{},
		held: map[model.Fingerprint]bool{}, next: Latest,
	}
}

// Version changes with whatever is known here.
func (b *Book) Version() uint64 { return b.version }

// touch notes that something has changed.
func (b *Book) touch() {
	b.stale = true
	b.version++
}

// Ended notes that a backend server has ended while a request ran there, as this router saw.
func (b *Book) Ended(now model.Time, f model.Fingerprint, account model.AccountID, end End) {
	b.noteEnd(end)
	b.touch()
	if end.Ran < minRun {
		return
	}
	e := b.entry(f, account)
	end.Try = e.Tried > e.Answered && end.sent() >= e.Tried
	if e.add(end) {
		e.saw = true
		b.toBeTold(now, e)
	}
	b.prune(now)
}

// noteEnd keeps when a backend server ended last. What is told of one end differs a little between routers.
func (b *Book) noteEnd(end End) {
	if at, known := b.ended[end.Backend]; !known || end.At > at+sameEnd {
		b.ended[end.Backend] = end.At
	}
}

// Answered notes that a request has got a whole answer, and tells whether it was held back.
func (b *Book) Answered(now model.Time, f model.Fingerprint) bool {
	e := b.entries[f]
	if e == nil || !e.blamed() {
		return false
	}
	was := b.isHeld(f)
	e.Answered, e.saw = now, true
	b.touch()
	b.toBeTold(now, e)
	return was
}

// Judge tells what is to be done with a request that has arrived. A try that it grants counts as made.
func (b *Book) Judge(now model.Time, f model.Fingerprint) Verdict {
	out := b.Consider(now, f)
	if out.Try {
		b.Try(now, f)
	}
	return out
}

// Consider tells what is to be done with a request that has arrived, where a try must be asked for. No other
// one is due here while it is.
func (b *Book) Consider(now model.Time, f model.Fingerprint) Verdict {
	e := b.entries[f]
	if e == nil || !b.isHeld(f) {
		return Verdict{}
	}
	out := Verdict{Held: true, Ends: len(e.counting()), RetryAfter: b.Due(f) - now}
	if out.RetryAfter > 0 {
		return out
	}
	e.asked = now
	out.Try, out.RetryAfter = true, 0
	return out
}

// Try notes that a try is made, and tells whether it may be: not where a backend server has ended under the request since
// it was asked for.
func (b *Book) Try(now model.Time, f model.Fingerprint) bool {
	e := b.entries[f]
	if e == nil || !b.isHeld(f) {
		return true
	}
	for _, end := range e.counting() {
		if end.At > e.asked {
			return false
		}
	}
	e.Tried = now
	b.toBeTold(now, e)
	return true
}

// Knows tells whether anything is held against a request.
func (b *Book) Knows(f model.Fingerprint) bool {
	e := b.entries[f]
	return e != nil && e.blamed()
}

// Saw tells whether this router has seen one of the ends of a request, or its last whole answer.
func (b *Book) Saw(f model.Fingerprint) bool {
	e := b.entries[f]
	return e != nil && e.saw
}

// Take takes what another router, or the store, has of a request.
func (b *Book) Take(now model.Time, in Suspicion) {
	if b.entries[in.Fingerprint] == nil && len(in.Ends) == 0 {
		return
	}
	e := b.entry(in.Fingerprint, in.Account)
	changed := in.Tried > e.Tried || in.Answered > e.Answered
	if in.Answered+together < e.Answered && len(in.Ends) > 0 {
		b.toBeTold(now, e) // the other one hasn't heard of the answer
	}
	e.Tried = max(e.Tried, in.Tried)
	e.Answered = max(e.Answered, in.Answered)
	for _, end := range in.Ends {
		b.noteEnd(end)
		changed = e.add(end) || changed
	}
	if changed {
		b.touch()
		b.prune(now)
	}
}

// Restore takes a request that the store keeps as held back. Its ends count as what held it back, whatever else ended then.
func (b *Book) Restore(now model.Time, in Suspicion) {
	if len(in.Ends) == 0 {
		return
	}
	e := b.entry(in.Fingerprint, in.Account)
	e.restored = now
	for _, end := range in.Ends {
		e.add(end)
	}
	b.touch()
	b.prune(now)
}

// Due returns when a request that is held back is tried here.
func (b *Book) Due(f model.Fingerprint) model.Time {
	e := b.entries[f]
	if e == nil {
		return Never
	}
	return b.calm(b.due(e))
}

// Held returns what is held against each request that is held back, in order, as it is to be kept: of a try that
// something else may have ended, only the end.
func (b *Book) Held() []Suspicion {
	b.judge()
	var out []Suspicion
	for _, f := range slices.Sorted(maps.Keys(b.held)) {
		e := b.entries[f]
		held := e.copied()
		for i, end := range held.Ends {
			held.Ends[i].Try = end.Try && b.points(e, end, b.held) == strongPoints
		}
		out = append(out, held)
	}
	return out
}

// Known returns what is held against each request that Digest covers, in order.
func (b *Book) Known() []Suspicion {
	var out []Suspicion
	for _, f := range slices.Sorted(maps.Keys(b.entries)) {
		if e := b.entries[f]; e.covered() {
			out = append(out, e.copied())
		}
	}
	return out
}

// Digest is the same at two routers that know the same, and 0 for nothing. It covers requests with two
// ends and more: those with one are told as they happen, and seldom come to anything.
func (b *Book) Digest() uint64 {
	b.judge()
	return b.digest
}

// Accounts returns the accounts of the requests that anything is held against.
func (b *Book) Accounts() []model.AccountID {
	out := map[model.AccountID]bool{}
	for _, e := range b.entries {
		if e.blamed() {
			out[e.Account] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}

// isHeld tells whether a request is held back.
func (b *Book) isHeld(f model.Fingerprint) bool {
	b.judge()
	return b.held[f]
}

func (b *Book) entry(f model.Fingerprint, account model.AccountID) *entry {
	e := b.entries[f]
	if e == nil {
		e = &entry{Suspicion: Suspicion{Fingerprint: f, Account: account, Answered: Never, Tried: Never}, restored: Never, asked: Never}
		b.entries[f] = e
	}
	return e
}

// prune forgets what is old, and the oldest where there is too much. It goes over everything, so that it
// is done now and then only.
func (b *Book) prune(now model.Time) {
	if now < b.pruned+pruneEvery && len(b.entries) <= maxEntries+maxEntries/8 {
		return
	}
	b.pruned = now
	maps.DeleteFunc(b.ended, func(_ model.BackendID, at model.Time) bool { return now-at > endsKept })
	maps.DeleteFunc(b.entries, func(_ model.Fingerprint, e *entry) bool { return now-e.last() > kept })
	if len(b.entries) <= maxEntries {
		return
	}
	b.judge()
	var free []*entry
	for f, e := range b.entries {
		if !b.held[f] {
			free = append(free, e)
		}
	}
	slices.SortFunc(free, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(x.last(), y.last()), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	for _, e := range free[:min(len(free), len(b.entries)-maxEntries)] {
		delete(b.entries, e.Fingerprint)
	}
	b.touch()
}
