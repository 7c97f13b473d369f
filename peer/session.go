package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"slices"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// tagSize is the size of a datagram's authentication tag, in bytes.
	tagSize = 16
	// maxDatagram is the size of the largest datagram, in bytes.
	maxDatagram = 60000
	// windowSize is how far behind the newest a datagram may come.
	windowSize = 64
	// retiredKept is how many earlier processes of a router are remembered.
	retiredKept = 16
)

// The errors of a datagram.
var (
	namespace = errorx.NewNamespace("peer")
	// Forged is the error for a datagram that wasn't made with the peer key.
	Forged = namespace.NewType("forged")
	// Replayed is the error for a datagram that was taken already, or was made
	// for another process than this one.
	Replayed = namespace.NewType("replayed")
	// Malformed is the error for bytes that are no datagram.
	Malformed = namespace.NewType("malformed")
)

// session seals and opens datagrams. A datagram is taken only if it was made
// with the peer key, for this very process, and hasn't been taken before. A
// router that doesn't yet know the receiver's process is answered with a
// greeting that names it.
type session struct {
	self  string
	boot  uint64
	key   []byte
	peers map[string]*remote
}

// remote is what is known of another router's process.
type remote struct {
	boot    uint64
	sent    uint64 // sequence of the last datagram sealed for it
	retired []uint64
	newest  uint64
	window  uint64 // bit i stands for newest-i
	pending *wire.Datagram
}

func newSession(self string, boot uint64, key []byte) *session {
	return &session{self: self, boot: boot, key: key, peers: map[string]*remote{}}
}

func (s *session) remote(name string) *remote {
	r := s.peers[name]
	if r == nil {
		r = &remote{}
		s.peers[name] = r
	}
	return r
}

func (s *session) tag(payload []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write(payload)
	return mac.Sum(nil)[:tagSize]
}

// seal returns the bytes of a datagram.
func (s *session) seal(d *wire.Datagram) ([]byte, error) {
	r := s.remote(d.To)
	r.sent++
	d.From, d.Boot, d.ToBoot, d.Sequence = s.self, s.boot, r.boot, r.sent
	r.pending = nil
	if r.boot == 0 {
		r.pending = d
	}
	payload, err := proto.Marshal(d)
	if err != nil {
		return nil, Malformed.Wrap(err, "datagram for %q", d.To)
	}
	if len(payload) > maxDatagram {
		return nil, Malformed.New("datagram for %q of %d bytes is too large", d.To, len(payload))
	}
	return append(payload, s.tag(payload)...), nil
}

// open takes bytes from the network. It returns the datagram where it is to be
// taken, and what is to be sent back: a greeting to one that doesn't know this
// process, or the datagram that one who has now told its process has missed.
func (s *session) open(b []byte) (taken, reply *wire.Datagram, err error) {
	if len(b) < tagSize {
		return nil, nil, Malformed.New("a datagram of %d bytes", len(b))
	}
	payload, tag := b[:len(b)-tagSize], b[len(b)-tagSize:]
	if !hmac.Equal(tag, s.tag(payload)) {
		return nil, nil, Forged.New("a datagram with a wrong tag")
	}
	d := &wire.Datagram{}
	if err := proto.Unmarshal(payload, d); err != nil {
		return nil, nil, Malformed.Wrap(err, "a datagram that can't be read")
	}
	if d.To != s.self || d.From == "" || d.From == s.self || d.Boot == 0 {
		return nil, nil, Malformed.New("a datagram from %q for %q", d.From, d.To)
	}
	if d.ToBoot != s.boot {
		return nil, s.greet(d), nil
	}
	return s.take(d)
}

// greet answers a datagram that was made for no process, or for an earlier one.
func (s *session) greet(d *wire.Datagram) *wire.Datagram {
	return &wire.Datagram{To: d.From, ToBoot: d.Boot}
}

// sealGreeting seals a greeting: it is addressed to the process it answers, of
// which nothing else is known.
func (s *session) sealGreeting(d *wire.Datagram) ([]byte, error) {
	d.From, d.Boot = s.self, s.boot
	payload, err := proto.Marshal(d)
	if err != nil {
		return nil, Malformed.Wrap(err, "greeting for %q", d.To)
	}
	return append(payload, s.tag(payload)...), nil
}

func (s *session) take(d *wire.Datagram) (taken, reply *wire.Datagram, err error) {
	r := s.remote(d.From)
	if r.boot != d.Boot {
		if slices.Contains(r.retired, d.Boot) {
			return nil, nil, Replayed.New("a datagram from an earlier process of %q", d.From)
		}
		r.change(d.Boot)
		reply, r.pending = r.pending, nil
	}
	if d.Sequence == 0 {
		return d, reply, nil
	}
	if !r.fresh(d.Sequence) {
		return nil, reply, Replayed.New("datagram %d from %q again", d.Sequence, d.From)
	}
	return d, reply, nil
}

// change notes that a router is now another process.
func (r *remote) change(boot uint64) {
	if r.boot != 0 {
		r.retired = append(r.retired, r.boot)
		r.retired = r.retired[max(0, len(r.retired)-retiredKept):]
	}
	r.boot = boot
	r.newest = 0
	r.window = 0
}

// fresh tells whether a sequence is new, and marks it as taken.
func (r *remote) fresh(sequence uint64) bool {
	if sequence > r.newest {
		shift := sequence - r.newest
		r.window = r.window<<min(shift, windowSize) | 1
		if shift >= windowSize {
			r.window = 1
		}
		r.newest = sequence
		return true
	}
	behind := r.newest - sequence
	if behind >= windowSize || r.window&(1<<behind) != 0 {
		return false
	}
	r.window |= 1 << behind
	return true
}
