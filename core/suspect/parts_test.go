package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// hotPart is the first part of all prompts, lethalPart the first one that crashes backend servers, rarePart the first
	// that few prompts share, and uniquePart the first that only one prompt has.
	hotPart    = 1
	lethalPart = 100
	rarePart   = 1000
	uniquePart = 1_000_000
)

// partFleet is a fleet with requests of which no two are alike: lethal ones share a part with each other, and the others
// with sound ones.
type partFleet struct {
	*fleet
	last uint64 // number of the last request
}

func newPartFleet(t *rapid.T) *partFleet {
	w := &partFleet{
		fleet: newFleet(t, rapid.IntRange(2, 12).Draw(t, "routers"), rapid.IntRange(9, 40).Draw(t, "servers")),
	}
	w.granting, w.claims = true, map[model.Fingerprint]model.Time{}
	return w
}

// next returns a new request with some shared parts after the hot one.
func (w *partFleet) next(lethal bool, shared ...uint64) request {
	w.last++
	r := request{f: model.Fingerprint(w.last), lethal: lethal, shared: []model.Part{{ID: hotPart}}}
	for _, id := range append(shared, uniquePart+w.last) {
		r.shared = append(r.shared, model.Part{ID: id})
	}
	return r
}

// sentOf returns when some requests were sent.
func (w *partFleet) sentOf(ids []model.Fingerprint) []model.Time {
	var sent []model.Time
	for _, f := range ids {
		sent = append(sent, w.sent[f]...)
	}
	return sent
}

// lateRuns returns how many of some requests with a lethal part were sent, and how many of them late.
func (w *partFleet) lateRuns(ids []model.Fingerprint) (runs, late int) {
	sent := w.sentOf(ids)
	if len(sent) <= provenRuns {
		return len(sent), 0
	}
	from := sent[provenRuns-1] + maxRunTime + detectionTime
	for _, at := range sent {
		if at > from {
			late++
		}
	}
	return len(sent), late
}

const (
	// provenRuns is the number of crashes by which a part is proven, and detectionTime the time from then until no more
	// than allowedRuns requests with it may be sent. maxRunTime is the longest time from a request to the crash.
	provenRuns    = 5
	detectionTime = 3 * time.Second
	allowedRuns   = 3
	maxRunTime    = 150 * time.Millisecond
)

// TestLethalPartsAreHeldBack generates fleets, parts of prompts that crash backend servers in requests of which no two are
// alike, sound requests that share all other parts, and waves in which half of the servers end. After the fifth crash at
// most three more requests with a lethal part are sent, and in the end every sound request is served.
func TestLethalPartsAreHeldBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newPartFleet(t)
		lethal := make([][]model.Fingerprint, rapid.IntRange(0, 2).Draw(t, "lethal parts"))
		every := time.Duration(rapid.IntRange(150, 1500).Draw(t, "interval ms")) * time.Millisecond
		for i := range lethal {
			w.repeatNew(every, func() request {
				r := w.next(true, lethalPart+uint64(i), rarePart+w.last%5)
				lethal[i] = append(lethal[i], r.f)
				return r
			})
		}
		var sound []model.Fingerprint
		for range 10 {
			w.repeatNew(150*time.Millisecond, func() request {
				r := w.next(false, rarePart+w.last%5)
				if w.queue.Now() > 75*time.Second {
					sound = append(sound, r.f)
				}
				return r
			})
		}
		w.scheduleWaves(rapid.IntRange(0, 4).Draw(t, "waves"))
		w.run(90 * time.Second)
		for i, ids := range lethal {
			if runs, late := w.lateRuns(ids); late > allowedRuns {
				t.Fatalf("lethal part %d was sent %d times, %d of them late: %v, tries at %v", i, runs, late, w.sentOf(ids), w.tries)
			}
		}
		w.checkNoneRefused(sound)
	})
}

// checkNoneRefused checks that none of some sound requests was held back.
func (w *partFleet) checkNoneRefused(sound []model.Fingerprint) {
	for _, f := range sound {
		if at, refused := w.refused[f]; refused {
			w.t.Fatalf("sound request %d was held back at %v", f, at)
		}
	}
}

// partEnd records an end of a backend server under a prompt with a part.
func partEnd(b *Tracker, at model.Time, backend int, ids ...uint64) {
	b.RecordPartEnds(at, pool, parts(ids...), account, endedAt(at, backend))
}

func parts(ids ...uint64) []model.Part {
	var out []model.Part
	for _, id := range ids {
		out = append(out, model.Part{ID: id})
	}
	return out
}

// holds reports whether a part is held back.
func holds(b *Tracker, id uint64) bool {
	return len(b.HeldOf(model.PromptPart{Pool: pool, ID: id}.Fingerprint())) > 0
}

func TestThreeEndsHoldPartBack(t *testing.T) {
	is := is.New(t)
	b := New(1)
	for n := range 3 {
		is.True(!holds(b, lethalPart))
		at := time.Duration(n+1) * time.Second
		partEnd(b, at, n, hotPart, lethalPart)
		b.RecordPartAnswers(at+100*time.Millisecond, pool, parts(hotPart))
	}
	is.True(holds(b, lethalPart))
	is.True(!holds(b, hotPart)) // other prompts with it are answered
	is.Equal(len(b.Accounts()), 0)
	other := model.PromptPart{Pool: pool + 1, ID: lethalPart}.Fingerprint()
	is.Equal(len(b.HeldOf(other)), 0) // another pool's backend servers may survive it
}

// TestCommonCauseHoldsNoPartBack guards against holding back a part that many prompts share because all backend servers
// that ran them ended at once.
func TestCommonCauseHoldsNoPartBack(t *testing.T) {
	is := is.New(t)
	b := New(1)
	for backend := range 12 {
		partEnd(b, time.Second, backend, hotPart)
	}
	is.True(!holds(b, hotPart))
}

// TestAnsweredPartIsNotSuspected guards against telling the fleet of ends under parts that are answered all the time.
func TestAnsweredPartIsNotSuspected(t *testing.T) {
	is := is.New(t)
	b := New(1)
	b.RecordPartAnswers(time.Second, pool, parts(hotPart))
	partEnd(b, 2*time.Second, 1, hotPart)
	is.Equal(len(b.TakeDue(3*time.Second)), 0)
	partEnd(b, time.Second+answeredGrace+time.Millisecond, 2, hotPart)
	is.Equal(len(b.TakeDue(time.Minute)), 1)
}

// TestPartIsExoneratedEverywhere guards against a router that holds back a part of which others know that it is answered.
func TestPartIsExoneratedEverywhere(t *testing.T) {
	is := is.New(t)
	suspecting, knowing := New(1), New(2)
	for n := range 3 {
		partEnd(suspecting, time.Duration(n+1)*time.Second, n, hotPart)
	}
	knowing.RecordPartAnswers(4*time.Second, pool, parts(hotPart))
	is.True(holds(suspecting, hotPart))
	for _, told := range suspecting.TakeDue(5 * time.Second) {
		knowing.Merge(5*time.Second, told)
	}
	is.True(!holds(knowing, hotPart))
	for _, told := range knowing.TakeDue(6 * time.Second) {
		suspecting.Merge(6*time.Second, told)
	}
	is.True(!holds(suspecting, hotPart))
}

// TestExplainedEndsDoNotHoldPartBack guards against holding back a part of which few prompts were sent, all of them beside a
// part that crashes backend servers.
func TestExplainedEndsDoNotHoldPartBack(t *testing.T) {
	is := is.New(t)
	b := New(1)
	for n := range 5 {
		at := time.Duration(n+1) * time.Second
		partEnd(b, at, n, lethalPart)
		if n > 1 {
			partEnd(b, at, n, rarePart)
		}
	}
	is.True(holds(b, lethalPart))
	is.True(!holds(b, rarePart))
	for n := range 3 {
		partEnd(b, time.Duration(n+10)*time.Second, n+10, rarePart) // without the other part
	}
	is.True(holds(b, rarePart))
}

// TestTriedPartIsLetGo checks that an answer to a try lets a sound part go.
func TestTriedPartIsLetGo(t *testing.T) {
	is := is.New(t)
	b := New(1)
	for n := range 3 {
		partEnd(b, time.Duration(n+1)*time.Second, n, rarePart)
	}
	f := model.PromptPart{Pool: pool, ID: rarePart}.Fingerprint()
	first := b.Check(4*time.Second, f)
	is.True(first.Held && !first.Try)
	now := 4*time.Second + first.RetryAfter
	is.True(b.Check(now, f).Try)
	is.True(b.StartTry(now, f))
	is.True(!b.Check(now+time.Millisecond, f).Try) // one at a time
	b.RecordPartAnswers(now+time.Second, pool, parts(rarePart))
	is.True(!holds(b, rarePart))
}

// TestReleasedPartIsSuspectedAgain checks that an operator's release doesn't exonerate a part from later ends.
func TestReleasedPartIsSuspectedAgain(t *testing.T) {
	is := is.New(t)
	b := New(1)
	f := model.PromptPart{Pool: pool, ID: lethalPart}.Fingerprint()
	for n := range 3 {
		partEnd(b, time.Duration(n+1)*time.Second, n, lethalPart)
	}
	is.True(b.RecordAnswer(4*time.Second, f))
	is.True(!holds(b, lethalPart))
	for n := range 3 {
		partEnd(b, time.Duration(n+5)*time.Second, n+5, lethalPart)
	}
	is.True(holds(b, lethalPart))
}
