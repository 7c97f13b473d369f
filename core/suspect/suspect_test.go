package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

const account = model.AccountID(7)

// endedAt returns an end 100 ms after the request was sent, before any part of the answer.
func endedAt(at model.Time, backend int) End {
	return End{Backend: model.BackendID(backend), At: at, Ran: 100 * time.Millisecond}
}

func TestTwoUnexplainedEndsHoldRequestBack(t *testing.T) {
	is := is.New(t)
	b := New(1)
	b.RecordEnd(time.Second, 1, account, endedAt(time.Second, 1))
	is.True(!b.Decide(2*time.Second, 1).Held)
	b.RecordEnd(3*time.Second, 1, account, endedAt(3*time.Second, 2))
	got := b.Decide(4*time.Second, 1)
	is.True(got.Held && !got.Try)
	is.Equal(got.Ends, 2)
	is.True(got.RetryAfter > firstTryDelay-2*time.Second)
	is.True(!b.Decide(4*time.Second, 2).Held) // another request
}

func TestCompleteAnswerClearsRequest(t *testing.T) {
	is := is.New(t)
	b := New(1)
	b.RecordEnd(time.Second, 1, account, endedAt(time.Second, 1))
	is.True(!b.RecordAnswer(2*time.Second, 1))
	b.RecordEnd(3*time.Second, 1, account, endedAt(3*time.Second, 2))
	is.True(!b.Decide(4*time.Second, 1).Held) // the ends aren't consecutive
	b.RecordEnd(5*time.Second, 1, account, endedAt(5*time.Second, 3))
	is.True(b.Decide(6*time.Second, 1).Held)
	is.True(b.RecordAnswer(7*time.Second, 1))
	is.True(!b.Decide(8*time.Second, 1).Held)
	is.Equal(len(b.Accounts()), 0)
}

func TestRepeatedEndCountsOnce(t *testing.T) {
	is := is.New(t)
	b := New(1)
	for range 5 {
		b.RecordEnd(time.Second, 1, account, endedAt(time.Second, 1))
	}
	is.True(!b.Decide(2*time.Second, 1).Held)
}

func TestEndAfterRestartUnderSameNameCounts(t *testing.T) {
	is := is.New(t)
	b := New(1)
	b.RecordEnd(time.Second, 1, account, endedAt(time.Second, 1))
	again := endedAt(4*time.Second, 1)
	again.Ran += 10 * time.Millisecond
	b.RecordEnd(4*time.Second, 1, account, again)
	is.True(b.Decide(5*time.Second, 1).Held)
}

// TestDelayedReportIsNoNewEnd guards against counting an end several times: reports of it arrive late, each with
// another time.
func TestDelayedReportIsNoNewEnd(t *testing.T) {
	is := is.New(t)
	b := New(1)
	for late := range 5 {
		at := time.Duration(1+4*late) * time.Second
		b.Merge(at, Suspicion{Fingerprint: 1, Account: account, Ends: []End{endedAt(at, 1)}, Answered: Never, Tried: Never})
	}
	is.True(b.Suspects(1))
	is.True(!b.Decide(30*time.Second, 1).Held)
}

func TestRequestSentToEndedServerIsNotSuspected(t *testing.T) {
	is := is.New(t)
	b := New(1)
	for backend := range 4 {
		b.RecordEnd(time.Second, 1, account, End{Backend: model.BackendID(backend), At: time.Second, Ran: time.Millisecond})
	}
	is.True(!b.Suspects(1))
}

// TestCorrelatedEndsCountLess ends two backend servers at a time, with a common cause, while a request runs
// on one of them.
func TestCorrelatedEndsCountLess(t *testing.T) {
	is := is.New(t)
	b := New(1)
	at := time.Second
	for backend := range 2 {
		b.RecordEnd(at, 2, account, endedAt(at, 100+backend))
		b.RecordEnd(at, 1, account, endedAt(at, backend))
		at += time.Second
	}
	is.True(!b.Decide(at, 1).Held) // two uncorrelated ends would hold it back
	b.RecordEnd(at, 2, account, endedAt(at, 102))
	b.RecordEnd(at, 1, account, endedAt(at, 2))
	got := b.Decide(at, 1)
	is.True(got.Held)
	is.True(got.RetryAfter <= 10*time.Second)
	try := b.Decide(at+got.RetryAfter, 1)
	is.True(try.Held && try.Try)
	is.True(!b.Decide(at+got.RetryAfter, 1).Try) // one at a time
	is.True(b.RecordAnswer(at+got.RetryAfter+time.Second, 1))
	is.True(!b.Decide(at+got.RetryAfter+time.Second, 1).Held)
}

// TestEndsExplainedByAnotherRequest runs a harmless request twice beside one that crashes its backend servers: only the
// latter is held back.
func TestEndsExplainedByAnotherRequest(t *testing.T) {
	is := is.New(t)
	b := New(1)
	for backend := range 3 {
		at := time.Duration(backend+1) * time.Second
		b.RecordEnd(at, 1, account, endedAt(at, backend))
		if backend > 0 {
			b.RecordEnd(at, 2, account, endedAt(at, backend))
		}
	}
	is.True(b.Decide(4*time.Second, 1).Held)
	is.True(!b.Decide(4*time.Second, 2).Held)
}

func TestFailedTryDelaysNextTry(t *testing.T) {
	is := is.New(t)
	b := New(1)
	b.RecordEnd(time.Second, 1, account, endedAt(time.Second, 1))
	b.RecordEnd(2*time.Second, 1, account, endedAt(2*time.Second, 2))
	at := 2*time.Second + b.Decide(2*time.Second, 1).RetryAfter
	is.True(b.Decide(at, 1).Try)
	at += 100 * time.Millisecond
	b.RecordEnd(at, 1, account, endedAt(at, 3))
	is.True(b.Decide(at, 1).RetryAfter >= failedTryDelay)
}

func TestTakeIsIndependentOfOrder(t *testing.T) {
	is := is.New(t)
	var sent []Suspicion
	for backend := range 6 {
		b := New(uint64(backend))
		at := time.Duration(backend) * time.Second
		b.RecordEnd(at, model.Fingerprint(1+backend%2), account, endedAt(at, backend))
		sent = append(sent, b.TakeDue(at)...)
	}
	is.Equal(len(sent), 6)
	forward, reverse := New(1), New(2)
	for i := range sent {
		forward.Merge(10*time.Second, sent[i])
		reverse.Merge(10*time.Second, sent[len(sent)-1-i])
		reverse.Merge(10*time.Second, sent[len(sent)-1-i])
	}
	is.True(forward.Digest() != 0)
	is.Equal(forward.Digest(), reverse.Digest())
	is.Equal(len(forward.Held()), 2)
	is.Equal(len(reverse.Held()), 2)
}

func TestEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	b := New(1)
	b.RecordEnd(0, 1, account, endedAt(0, 1))
	b.RecordEnd(time.Second, 1, account, endedAt(time.Second, 2))
	for i := range 3 * maxEntries {
		at := 2*time.Second + time.Duration(i)*time.Millisecond
		b.RecordEnd(at, model.Fingerprint(10+i), account, endedAt(at, 100+i))
	}
	is.True(len(b.entries) <= maxEntries+maxEntries/8)
	is.True(b.Decide(20*time.Second, 1).Held) // held-back requests aren't evicted
	b.RecordEnd(time.Hour, 5, account, endedAt(time.Hour, 5))
	is.Equal(len(b.entries), 1)
}

func BenchmarkJudge(b *testing.B) {
	tracker := New(1)
	for i := range maxEntries {
		at := time.Duration(i) * time.Millisecond
		tracker.RecordEnd(at, model.Fingerprint(i), account, endedAt(at, i))
		tracker.RecordEnd(at, model.Fingerprint(i), account, endedAt(at, i+1))
	}
	tracker.evaluate()
	for b.Loop() {
		tracker.Decide(10*time.Second, 5)
	}
}
