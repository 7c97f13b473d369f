package holding

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestOrderOfGivingWay fills a budget: large bodies are refused first, then answers aren't held any more, and small
// bodies are taken all the time.
func TestOrderOfGivingWay(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	b := New(limit)
	is.True(b.Take(Answer, limit/2-SmallBody-1))
	is.True(b.Take(Body, SmallBody+1))
	is.True(!b.Take(Body, SmallBody+1)) // beyond half
	is.True(b.Take(Body, SmallBody))
	is.True(b.Take(Answer, limit/2-SmallBody))
	is.True(!b.Take(Answer, 1))
	is.True(b.Take(Body, SmallBody)) // beyond the limit
	is.Equal(b.Held(Body), 3*SmallBody+1)
	b.Return(Answer, limit/2-SmallBody)
	is.True(b.Take(Answer, 1))
}

type thing struct {
	kind  Kind
	bytes int
}

// checkLimit checks that what has just been taken didn't lead beyond its limit.
func checkLimit(t *rapid.T, b *Budget, x thing) {
	if x.kind == Body && x.bytes <= SmallBody {
		return
	}
	most := float64(b.Limit())
	if x.kind == Body {
		most *= BodyPart
	}
	if float64(b.Held(Body)+b.Held(Answer)) > most {
		t.Fatalf("%d bytes of kind %d led beyond the limit", x.bytes, x.kind)
	}
}

// checkSums checks that what is held is what is there.
func checkSums(t *rapid.T, b *Budget, there []thing) {
	var sums [kinds]int
	for _, x := range there {
		sums[x.kind] += x.bytes
	}
	for k := range kinds {
		if b.Held(k) != sums[k] {
			t.Fatalf("%d bytes of kind %d are held, %d are there", b.Held(k), k, sums[k])
		}
	}
}

// TestHeldIsWhatWasTaken draws what is taken, changed and given back: the sums are those of what is there, and answers
// and large bodies never lead beyond their limits.
func TestHeldIsWhatWasTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(rapid.IntRange(0, 1<<20).Draw(t, "limit"))
		var there []thing
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(there) > 0 && rapid.Bool().Draw(t, "give back") {
				i := rapid.IntRange(0, len(there)-1).Draw(t, "which")
				x := there[i]
				to := rapid.IntRange(0, x.bytes).Draw(t, "rest")
				b.Change(x.kind, x.bytes, to)
				b.Return(x.kind, to)
				there = append(there[:i], there[i+1:]...)
			} else if x := (thing{Kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind")), rapid.IntRange(0, 1<<19).Draw(t, "bytes")}); b.Take(x.kind, x.bytes) {
				there = append(there, x)
				checkLimit(t, b, x)
			}
			checkSums(t, b, there)
		}
	})
}
