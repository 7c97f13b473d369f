package notice

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
)

// said is one word as the plain model keeps it: all of them, for good.
type said struct {
	at     model.Time
	id     model.BackendID
	notice Notice
}

// takes looks through all that was ever said.
func takes(all []said, now model.Time, id model.BackendID) bool {
	for _, s := range all {
		leaves := s.notice.Leaving && now-s.at <= kept
		if s.id == id && (leaves || now < s.at+s.notice.Rest) {
			return false
		}
	}
	return true
}

// TestBookFollowsAPlainModel draws words and times, and compares with a list of all that was said.
func TestBookFollowsAPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := New()
		var all []said
		now := model.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "passed")) * time.Millisecond
			if rapid.IntRange(0, 40).Draw(t, "long") == 0 {
				now += kept
			}
			s := said{at: now, id: model.BackendID(rapid.IntRange(1, 4).Draw(t, "server"))}
			s.notice.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
			s.notice.Rest = time.Duration(rapid.IntRange(0, 4000).Draw(t, "rest")) * time.Millisecond
			before := takes(all, now, s.id)
			all = append(all, s)
			changed := book.Take(now, s.id, s.notice)
			if after := takes(all, now, s.id); changed != (before && !after) {
				t.Fatalf("changed is %v, could it be sent to before: %v, after: %v", changed, before, after)
			}
			for id := model.BackendID(1); id <= 4; id++ {
				if got, want := book.Takes(now, id), takes(all, now, id); got != want {
					t.Fatalf("server %d takes new ones: %v, should be %v", id, got, want)
				}
			}
		}
	})
}

func TestBookIsBounded(t *testing.T) {
	is := is.New(t)
	book := New()
	for i := range 2 * most {
		id := model.BackendID(i + 1)
		book.Take(model.Time(i), id, Notice{Leaving: true})
		book.Take(model.Time(i)*time.Second, id, Notice{Rest: time.Second})
	}
	is.True(len(book.leaving) <= most && len(book.leaving) >= left)
	is.True(len(book.rests) <= 2)
	is.True(book.Leaves(2*most, 2*most)) // the newest
	is.True(!book.Leaves(2*most, most))  // the oldest ones gave way
}

func BenchmarkTakes(b *testing.B) {
	book := New()
	for i := range 500 {
		book.Take(0, model.BackendID(i), Notice{Leaving: i%2 == 0, Rest: time.Second})
	}
	for i := 0; b.Loop(); i++ {
		book.Takes(model.Time(i), model.BackendID(i%1000))
	}
}
