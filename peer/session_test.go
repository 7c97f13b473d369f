package peer

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/wire"
)

var testKey = []byte("a key for the tests of sessions")

// deliver delivers a datagram and all datagrams sent in response between two sessions,
// and returns the ones that were accepted.
func deliver(is *is.I, bytes []byte, from, to *session) (accepted []*wire.Datagram) {
	is.Helper()
	for range 10 {
		in, err := to.open(bytes)
		is.NoErr(err)
		if in.accepted != nil {
			accepted = append(accepted, in.accepted)
		}
		if in.resend != nil {
			resend, err := to.seal(in.resend)
			is.NoErr(err)
			accepted = append(accepted, deliver(is, resend, to, from)...)
		}
		if !in.greet {
			return accepted
		}
		bytes, err = to.greet(in.sender)
		is.NoErr(err)
		from, to = to, from
	}
	is.Fail() // endless greetings
	return accepted
}

// pair returns two sessions that accept each other's datagrams.
func pair(is *is.I) (a, b *session) {
	a, b = newSession("a", 11, testKey), newSession("b", 22, testKey)
	first, err := a.seal(&wire.Datagram{To: "b", Generation: 1})
	is.NoErr(err)
	is.Equal(len(deliver(is, first, a, b)), 1) // the datagram not accepted at first is sent again
	back, err := b.seal(&wire.Datagram{To: "a"})
	is.NoErr(err)
	is.Equal(len(deliver(is, back, b, a)), 1)
	return a, b
}

func TestDatagramsAreAcceptedOnce(t *testing.T) {
	is := is.New(t)
	a, b := pair(is)
	bytes, err := a.seal(&wire.Datagram{To: "b", Generation: 7})
	is.NoErr(err)
	in, err := b.open(bytes)
	is.NoErr(err)
	is.Equal(in.accepted.Generation, uint64(7))
	in, err = b.open(bytes)
	is.True(errorx.IsOfType(err, Replayed))
	is.True(in.accepted == nil)
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
		is.True(err != nil && in.accepted == nil && !in.greet && in.resend == nil)
	}
	in, err := b.open(bytes)
	is.NoErr(err)
	is.True(in.accepted != nil)
}

// TestRecordedDatagramsAreRejected checks that a recorded datagram is not accepted by a
// later process of the receiver, nor after a restart of the sender.
func TestRecordedDatagramsAreRejected(t *testing.T) {
	is := is.New(t)
	a, b := pair(is)
	old, err := a.seal(&wire.Datagram{To: "b"}) // recorded, but not delivered
	is.NoErr(err)
	in, err := newSession("b", 23, testKey).open(old)
	is.NoErr(err)
	is.True(in.accepted == nil)

	restarted := newSession("a", 12, testKey)
	fresh, err := restarted.seal(&wire.Datagram{To: "b"})
	is.NoErr(err)
	accepted := deliver(is, fresh, restarted, b)
	is.Equal(len(accepted), 1)
	is.Equal(accepted[0].Boot, uint64(12))

	in, err = b.open(old)
	is.NoErr(err)
	is.True(in.accepted == nil)
	next, err := restarted.seal(&wire.Datagram{To: "b"})
	is.NoErr(err)
	is.Equal(len(deliver(is, next, restarted, b)), 1) // datagrams of the current process are still accepted
}

// TestWindow checks that for any order and number of copies of datagrams, each is accepted
// at most once, and each within windowSize of the newest at least once.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &remote{}
		accepted := map[uint64]bool{}
		var newest uint64
		for _, n := range rapid.SliceOf(rapid.Uint64Range(1, 300)).Draw(t, "sequences") {
			fresh := r.markAccepted(n)
			inWindow := n+windowSize > newest
			if fresh && accepted[n] {
				t.Fatalf("%d is accepted twice", n)
			}
			if !fresh && !accepted[n] && inWindow {
				t.Fatalf("%d is rejected with %d the newest", n, newest)
			}
			accepted[n] = accepted[n] || fresh
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
		if in.accepted != nil || err == nil && len(b) < tagSize {
			t.Fatal("accepted a datagram that is not addressed to this process")
		}
	})
}
