package peer

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/wire"
)

var testKey = []byte("a key for the tests of sessions")

// hand carries what a datagram sets off between two sessions, until there is no
// more, and returns the datagrams that were taken.
func hand(is *is.I, bytes []byte, from, to *session) (taken []*wire.Datagram) {
	is.Helper()
	for range 10 {
		in, err := to.open(bytes)
		is.NoErr(err)
		if in.taken != nil {
			taken = append(taken, in.taken)
		}
		if in.again != nil {
			again, err := to.seal(in.again)
			is.NoErr(err)
			taken = append(taken, hand(is, again, to, from)...)
		}
		if !in.greet {
			return taken
		}
		bytes, err = to.greet(in.from)
		is.NoErr(err)
		from, to = to, from
	}
	is.Fail() // greetings without end
	return taken
}

// pair returns two sessions that know each other.
func pair(is *is.I) (a, b *session) {
	a, b = newSession("a", 11, testKey), newSession("b", 22, testKey)
	first, err := a.seal(&wire.Datagram{To: "b", Generation: 1})
	is.NoErr(err)
	is.Equal(len(hand(is, first, a, b)), 1) // what was missed is sent again
	back, err := b.seal(&wire.Datagram{To: "a"})
	is.NoErr(err)
	is.Equal(len(hand(is, back, b, a)), 1)
	return a, b
}

func TestDatagramsAreTakenOnce(t *testing.T) {
	is := is.New(t)
	a, b := pair(is)
	bytes, err := a.seal(&wire.Datagram{To: "b", Generation: 7})
	is.NoErr(err)
	in, err := b.open(bytes)
	is.NoErr(err)
	is.Equal(in.taken.Generation, uint64(7))
	in, err = b.open(bytes)
	is.True(errorx.IsOfType(err, Replayed))
	is.True(in.taken == nil)
}

func TestForgedDatagramsChangeNothing(t *testing.T) {
	is := is.New(t)
	a, b := pair(is)
	bytes, err := a.seal(&wire.Datagram{To: "b"})
	is.NoErr(err)
	for i := range bytes {
		forged := append([]byte(nil), bytes...)
		forged[i] ^= 1
		in, err := b.open(forged)
		is.True(err != nil && in.taken == nil && !in.greet && in.again == nil)
	}
	in, err := b.open(bytes)
	is.NoErr(err)
	is.True(in.taken != nil)
}

// What was recorded of an earlier process is of no use: not to another process,
// nor in the name of one that has been replaced.
func TestRecordingsAreOfNoUse(t *testing.T) {
	is := is.New(t)
	a, b := pair(is)
	old, err := a.seal(&wire.Datagram{To: "b"}) // recorded, and kept back
	is.NoErr(err)
	in, err := newSession("b", 23, testKey).open(old)
	is.NoErr(err)
	is.True(in.taken == nil)

	restarted := newSession("a", 12, testKey)
	fresh, err := restarted.seal(&wire.Datagram{To: "b"})
	is.NoErr(err)
	taken := hand(is, fresh, restarted, b)
	is.Equal(len(taken), 1)
	is.Equal(taken[0].Boot, uint64(12))

	in, err = b.open(old)
	is.NoErr(err)
	is.True(in.taken == nil)
	next, err := restarted.seal(&wire.Datagram{To: "b"})
	is.NoErr(err)
	is.Equal(len(hand(is, next, restarted, b)), 1) // and the live process is still taken
}

// Property: in whatever order datagrams come, and however often, each is taken
// at most once, and each of the newest windowSize at least once.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &remote{}
		taken := map[uint64]bool{}
		var newest uint64
		for _, n := range rapid.SliceOf(rapid.Uint64Range(1, 300)).Draw(t, "sequences") {
			fresh := r.fresh(n)
			inWindow := n+windowSize > newest
			if fresh && taken[n] {
				t.Fatalf("%d is taken twice", n)
			}
			if !fresh && !taken[n] && inWindow {
				t.Fatalf("%d is refused, with %d the newest", n, newest)
			}
			taken[n] = taken[n] || fresh
			newest = max(newest, n)
		}
	})
}

func FuzzOpen(f *testing.F) {
	s := newSession("a", 1, testKey)
	sealed, _ := s.seal(&wire.Datagram{To: "b", Report: &wire.Report{Sequence: 1}})
	f.Add(sealed)
	f.Add([]byte{})
	f.Add(make([]byte, tagSize))
	f.Fuzz(func(t *testing.T, b []byte) {
		in, err := newSession("b", 2, testKey).open(b)
		if in.taken != nil || err == nil && len(b) < tagSize {
			t.Fatal("a datagram is taken that wasn't made for this process")
		}
	})
}
