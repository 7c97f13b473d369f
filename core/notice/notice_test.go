package notice

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
)

// received is a notice of the plain model, which stores all notices and deletes none.
type received struct {
	at     model.Time
	id     model.BackendID
	notice Notice
}

// accepts searches all notices for one that applies.
func accepts(all []received, now model.Time, id model.BackendID) bool {
	for _, r := range all {
		leaving := r.notice.Leaving && now-r.at <= leavingTTL
		if r.id == id && (leaving || now < r.at+r.notice.Rest) {
			return false
		}
	}
	return true
}

// TestRegistryMatchesPlainModel compares the registry with a list of all notices received, for random notices and times.
func TestRegistryMatchesPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := New()
		var all []received
		now := model.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "passed")) * time.Millisecond
			if rapid.IntRange(0, 40).Draw(t, "long") == 0 {
				now += leavingTTL
			}
			r := received{at: now, id: model.BackendID(rapid.IntRange(1, 4).Draw(t, "server"))}
			r.notice.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			r.notice.Rest = time.Duration(rapid.IntRange(0, 4000).Draw(t, "rest")) * time.Millisecond
			before := accepts(all, now, r.id)
			all = append(all, r)
			changed := registry.Record(now, r.id, r.notice)
			if after := accepts(all, now, r.id); changed != (before && !after) {
				t.Fatalf("changed is %v, accepted new requests before: %v, after: %v", changed, before, after)
			}
			for id := model.BackendID(1); id <= 4; id++ {
				if got, want := registry.Accepts(now, id), accepts(all, now, id); got != want {
					t.Fatalf("server %d accepts new requests: %v, want %v", id, got, want)
				}
			}
		}
	})
}

func TestRegistryIsBounded(t *testing.T) {
	is := is.New(t)
	registry := New()
	for i := range 2 * maxLeaving {
		id := model.BackendID(i + 1)
		registry.Record(model.Time(i), id, Notice{Leaving: true})
		registry.Record(model.Time(i)*time.Second, id, Notice{Rest: time.Second})
	}
	is.True(len(registry.leaving) <= maxLeaving && len(registry.leaving) >= evictTo)
	is.True(len(registry.rests) <= 2)
	is.True(registry.IsLeaving(2*maxLeaving, 2*maxLeaving)) // the newest
	is.True(!registry.IsLeaving(2*maxLeaving, maxLeaving))  // evicted, as one of the oldest
}

func BenchmarkTakes(b *testing.B) {
	registry := New()
	for i := range 500 {
		registry.Record(0, model.BackendID(i), Notice{Leaving: i%2 == 0, Rest: time.Second})
	}
	for i := 0; b.Loop(); i++ {
		registry.Accepts(model.Time(i), model.BackendID(i%1000))
	}
}
