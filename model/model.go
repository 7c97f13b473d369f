// Package model defines types shared by the whole program: the identities
// of configured objects, the classes of requests, and the unit of service.
package model

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a reading of one process's monotonic clock. Times of two processes
// are never compared.
type Time = time.Duration

// AccountID identifies a client account: the hash of its name, or what
// Identities returns instead where two names have the same hash.
type AccountID uint32

// PoolID identifies a pool of backend servers, like an AccountID.
type PoolID uint32

// BackendID identifies an incarnation of a backend server, like an AccountID.
type BackendID uint32

// RequestID identifies a request inside one process.
type RequestID uint64

// Fingerprint identifies repetitions of a request. Package fingerprint computes it.
type Fingerprint uint64

// String returns the form that logs and operators use.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// fingerprintDigits is the number of hexadecimal digits of a fingerprint.
const fingerprintDigits = 16

// ParseFingerprint parses the form that logs and operators use. The fingerprint 0 is invalid.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != fingerprintDigits || f == 0 {
		return 0, fmt.Errorf("%q isn't a fingerprint: one is %d hexadecimal digits", text, fingerprintDigits)
	}
	return Fingerprint(f), nil
}

// Class is the urgency of a request within its account.
type Class uint8

// The classes. Interactive requests of an account are served before its batch requests.
const (
	Interactive Class = iota
	Batch
	// Classes is the number of classes.
	Classes
)

// String returns the name of the class in the configuration.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "interactive"
}

// Service is an amount of service divided by the account's weight, in units
// of 1/ServiceScale token.
type Service int64

// ServiceScale is the number of Service units in a token at weight 1.
const ServiceScale = 256

// ServiceOf returns the weighted service of a number of tokens.
func ServiceOf(tokens float64, weight float64) Service {
	return Service(tokens * ServiceScale / weight)
}

// Tokens returns the service as tokens at weight 1.
func (s Service) Tokens() float64 {
	return float64(s) / ServiceScale
}

// Key identifies the service of one account in one pool. Service is counted separately for
// each pool: two accounts compete only if they request the same capacity.
type Key struct {
	Pool    PoolID
	Account AccountID
}

// Compare defines a total order of keys, so that results don't depend on the order of a map.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Pool, other.Pool), cmp.Compare(k.Account, other.Account))
}

// NameHash returns the 32-bit hash of a name, which is the value of its identity unless another name has the same.
func NameHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// Account returns the identity of the named client account, unless another's name has the same hash.
func Account(name string) AccountID { return AccountID(NameHash(name)) }

// Pool returns the identity of the named pool, unless another's name has the same hash.
func Pool(name string) PoolID { return PoolID(NameHash(name)) }

// Backend returns the identity of the named backend server, unless another's name has the same hash.
func Backend(name string) BackendID { return BackendID(NameHash(name)) }

// Rendezvous returns the weight of a member for a subject under highest
// random weight hashing. The member with the highest weight is assigned the subject.
func Rendezvous(member, subject string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(subject)
	return d.Sum64()
}

// Part is a part of a prompt that may be a prefix of other prompts as well.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt describes a request's prompt and the answer requested.
type Prompt struct {
	Tokens    int    // of the whole prompt
	MaxOutput int    // maximum tokens of output, 0 if unknown
	Hint      int    // tokens of output that the caller expects, 0 if not given
	Parts     []Part // in order; the last one is specific to the request or its session
	Model     string
}

// Shared returns the parts that other prompts may have as well: all but the last one.
func (p Prompt) Shared() []Part {
	return p.Parts[:max(len(p.Parts)-1, 0)]
}

// PromptPart identifies a part of prompts in a pool. What one pool's backend servers don't survive, another's may.
type PromptPart struct {
	Pool PoolID
	ID   uint64
}

// Fingerprint returns the identity of the part among what may be held back; it is never 0.
func (p PromptPart) Fingerprint() Fingerprint {
	var text [12]byte
	binary.BigEndian.PutUint32(text[:], uint32(p.Pool))
	binary.BigEndian.PutUint64(text[4:], p.ID)
	return Fingerprint(max(xxhash.Sum64(text[:]), 1))
}

// String returns the form that logs and operators use, which is that of the callers.
func (p PromptPart) String() string { return strconv.FormatUint(p.ID, 16) }
