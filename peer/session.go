package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"math/rand/v2"

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
// with the peer key, for this very process, and hasn't been taken before. The
// first one of a process must also answer a challenge, a random number that this
// process has made for it: so a recording is of no use, in whatever process's
// name.
//
// Whoever sends what isn't taken is answered with a greeting, which names this
// process and holds the challenge.
type session struct {
	self  string
	boot  uint64
	key   []byte
	peers map[string]*remote
}

// remote is what is known of another router's process.
type remote struct {
	boot      uint64 // whose datagrams are taken, 0 for none
	sendBoot  uint64 // that datagrams are made for, as it last named itself
	sent      uint64 // sequence of the last datagram sealed for it
	challenge uint64 // that its process must answer to be taken, 0 for none made
	answer    uint64 // to its challenge
	answers   int    // how many more datagrams carry the answer
	newest    uint64
	window    uint64         // bit i stands for newest-i
	pending   *wire.Datagram // the last one sealed before its process was known
}

// answersSent is how many datagrams carry the answer to a challenge, as some
// may be lost.
const answersSent = 8

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
	d.Sequence = r.sent
	r.pending = nil
	if r.sendBoot == 0 {
		r.pending = d
	}
	return s.finish(d, r)
}

// greet returns the bytes of a greeting to a router that isn't taken yet.
func (s *session) greet(to string) ([]byte, error) {
	r := s.remote(to)
	for r.challenge == 0 {
		r.challenge = rand.Uint64()
	}
	return s.finish(&wire.Datagram{To: to, Challenge: r.challenge}, r)
}

func (s *session) finish(d *wire.Datagram, r *remote) ([]byte, error) {
	d.From, d.Boot, d.ToBoot, d.Answer = s.self, s.boot, r.sendBoot, 0
	if r.answers > 0 {
		r.answers--
		d.Answer = r.answer
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

// ownAddress returns where the sender of a datagram says that it listens, ""
// where it doesn't say.
func ownAddress(d *wire.Datagram) string {
	for _, r := range d.Rumours {
		if r.Name == d.From {
			return r.Address
		}
	}
	return ""
}

// opened is what came of bytes from the network.
type opened struct {
	from    string
	address string         // where the sender says that it listens, "" for not
	taken   *wire.Datagram // nil where nothing is to be taken
	greet   bool           // the sender is to be greeted
	again   *wire.Datagram // to be sent, as its receiver's process wasn't known before
}

// open takes bytes from the network.
func (s *session) open(b []byte) (opened, error) {
	if len(b) < tagSize {
		return opened{}, Malformed.New("a datagram of %d bytes", len(b))
	}
	payload, tag := b[:len(b)-tagSize], b[len(b)-tagSize:]
	if !hmac.Equal(tag, s.tag(payload)) {
		return opened{}, Forged.New("a datagram with a wrong tag")
	}
	d := &wire.Datagram{}
	if err := proto.Unmarshal(payload, d); err != nil {
		return opened{}, Malformed.Wrap(err, "a datagram that can't be read")
	}
	if d.To != s.self || d.From == "" || d.From == s.self || d.Boot == 0 {
		return opened{}, Malformed.New("a datagram from %q for %q", d.From, d.To)
	}
	out := opened{from: d.From, address: ownAddress(d)}
	if d.ToBoot != s.boot {
		s.learn(d, &out)
		out.greet = true
		return out, nil
	}
	return s.take(d, out)
}

// learn notes for which process datagrams are to be made, and what to answer.
// This changes nothing that is taken: a recording can at most cost a greeting.
func (s *session) learn(d *wire.Datagram, out *opened) {
	r := s.remote(d.From)
	if r.sendBoot != d.Boot {
		r.sendBoot = d.Boot
		out.again, r.pending = r.pending, nil
	}
	if d.Challenge != 0 {
		r.answer = d.Challenge
		r.answers = answersSent
	}
}

func (s *session) take(d *wire.Datagram, out opened) (opened, error) {
	s.learn(d, &out)
	r := s.remote(d.From)
	if r.boot != d.Boot {
		if r.challenge == 0 || d.Answer != r.challenge {
			out.greet = true
			return out, nil
		}
		*r = remote{boot: d.Boot, sendBoot: d.Boot, sent: r.sent, answer: r.answer, answers: r.answers}
	}
	if d.Sequence == 0 {
		return out, nil
	}
	if !r.fresh(d.Sequence) {
		return out, Replayed.New("datagram %d from %q again", d.Sequence, d.From)
	}
	out.taken = d
	return out, nil
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
