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
	// windowSize is the size of the replay window: how far a datagram's sequence number may be behind the newest.
	windowSize = 64
)

// The errors of a received datagram.
var (
	namespace = errorx.NewNamespace("peer")
	// Forged is the error for a datagram that was not authenticated with the peer key.
	Forged = namespace.NewType("forged")
	// Replayed is the error for a datagram that has been accepted already, or whose
	// sequence number is behind the replay window.
	Replayed = namespace.NewType("replayed")
	// Malformed is the error for bytes that are not a valid datagram.
	Malformed = namespace.NewType("malformed")
)

// session authenticates datagrams that are sent and received. A datagram is accepted only
// if it was authenticated with the peer key, is addressed to this process (by its boot
// number), and has not been accepted before. The first datagram of a process must also
// contain the answer to a challenge, a random number that this process has created for it.
// This prevents replays of recorded datagrams, also in the name of another process.
//
// The sender of a datagram that is authentic but not accepted is sent a greeting, which
// contains this process's boot number and the challenge.
type session struct {
	self  string
	boot  uint64
	key   []byte
	peers map[string]*remote
}

// remote is the session state for another router.
type remote struct {
	boot         uint64         // boot number of the process whose datagrams are accepted, 0 for none
	sendBoot     uint64         // boot number that datagrams are addressed to: the last one received
	lastSequence uint64         // sequence number of the last datagram sealed for it
	challenge    uint64         // challenge that its process must answer, 0 if none has been created
	answer       uint64         // answer to its challenge
	answersLeft  int            // number of following datagrams that contain the answer
	newest       uint64         // highest sequence number accepted
	window       uint64         // bit i is set if sequence number newest-i has been accepted
	pending      *wire.Datagram // last datagram sealed before sendBoot was known
}

// answerCopies is the number of datagrams that contain the answer to a challenge, as some
// may be lost.
const answerCopies = 8

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
	_, _ = mac.Write(payload) // a hash returns no error
	return mac.Sum(nil)[:tagSize]
}

// seal encodes and authenticates a datagram.
func (s *session) seal(d *wire.Datagram) ([]byte, error) {
	r := s.remote(d.To)
	r.lastSequence++
	d.Sequence = r.lastSequence
	r.pending = nil
	if r.sendBoot == 0 {
		r.pending = d
	}
	return s.encode(d, r)
}

// greet returns an encoded greeting to a router whose process is not accepted yet.
func (s *session) greet(to string) ([]byte, error) {
	r := s.remote(to)
	for r.challenge == 0 {
		r.challenge = rand.Uint64()
	}
	return s.encode(&wire.Datagram{To: to, Challenge: r.challenge}, r)
}

func (s *session) encode(d *wire.Datagram, r *remote) ([]byte, error) {
	d.From, d.Boot, d.ToBoot, d.Answer = s.self, s.boot, r.sendBoot, 0
	if r.answersLeft > 0 {
		r.answersLeft--
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

// announcedAddress returns the sender's address according to the rumour about itself in a
// datagram, "" without such a rumour.
func announcedAddress(d *wire.Datagram) string {
	for _, r := range d.Rumours {
		if r.Name == d.From {
			return r.Address
		}
	}
	return ""
}

// openResult is the result of decoding received bytes.
type openResult struct {
	sender        string         // name of the sender
	listenAddress string         // the sender's address according to itself, "" for none
	accepted      *wire.Datagram // the accepted datagram, nil for none
	greet         bool           // whether to send the sender a greeting
	resend        *wire.Datagram // datagram to send again, as its receiver's boot number wasn't known before, nil for none
}

// open authenticates and decodes received bytes.
func (s *session) open(b []byte) (openResult, error) {
	if len(b) < tagSize {
		return openResult{}, Malformed.New("datagram of %d bytes is too short", len(b))
	}
	payload, tag := b[:len(b)-tagSize], b[len(b)-tagSize:]
	if !hmac.Equal(tag, s.tag(payload)) {
		return openResult{}, Forged.New("datagram with an invalid authentication tag")
	}
	d := &wire.Datagram{}
	if err := proto.Unmarshal(payload, d); err != nil {
		return openResult{}, Malformed.Wrap(err, "datagram is not valid protobuf")
	}
	if d.To != s.self || d.From == "" || d.From == s.self || d.Boot == 0 {
		return openResult{}, Malformed.New("unexpected datagram from %q for %q", d.From, d.To)
	}
	out := openResult{sender: d.From, listenAddress: announcedAddress(d)}
	if d.ToBoot != s.boot {
		s.recordSender(d, &out)
		out.greet = true
		return out, nil
	}
	return s.accept(d, out)
}

// recordSender records the boot number that datagrams to the sender are addressed to, and the
// answer to its challenge. It doesn't affect which datagrams are accepted, so that a
// replayed datagram can at most cause a greeting.
func (s *session) recordSender(d *wire.Datagram, out *openResult) {
	r := s.remote(d.From)
	if r.sendBoot != d.Boot {
		r.sendBoot = d.Boot
		out.resend, r.pending = r.pending, nil
	}
	if d.Challenge != 0 {
		r.answer = d.Challenge
		r.answersLeft = answerCopies
	}
}

func (s *session) accept(d *wire.Datagram, out openResult) (openResult, error) {
	s.recordSender(d, &out)
	r := s.remote(d.From)
	if r.boot != d.Boot {
		if r.challenge == 0 || d.Answer != r.challenge {
			out.greet = true
			return out, nil
		}
		*r = remote{boot: d.Boot, sendBoot: d.Boot, lastSequence: r.lastSequence, answer: r.answer, answersLeft: r.answersLeft}
	}
	if d.Sequence == 0 {
		return out, nil
	}
	if !r.markAccepted(d.Sequence) {
		return out, Replayed.New("datagram %d from %q is a duplicate or too old", d.Sequence, d.From)
	}
	out.accepted = d
	return out, nil
}

// markAccepted marks a sequence number as accepted. It returns false if it was marked already or is behind the window.
func (r *remote) markAccepted(sequence uint64) bool {
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
