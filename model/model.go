// Package model holds the words that the whole program shares: the identities
// of what is configured, the classes of work, and the unit of service.
package model

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a reading of one process's monotonic clock. Times of two processes
// are never compared.
type Time = time.Duration

// AccountID identifies a client account: the hash of its name. The
// configuration refuses two names with the same hash.
type AccountID uint32

// PoolID identifies a pool of backend servers, by the hash of its name.
type PoolID uint32

// BackendID identifies a backend server, by the hash of its name.
type BackendID uint32

// RequestID identifies a request inside one process.
type RequestID uint64

// Fingerprint tells a request that comes again from others; package fingerprint makes it.
type Fingerprint uint64

// String returns the form that logs and operators use.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// fingerprintDigits is how many hexadecimal digits a fingerprint is written with.
const fingerprintDigits = 16

// ParseFingerprint reads the form that logs and operators use.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != fingerprintDigits || f == 0 {
		return 0, fmt.Errorf("%q isn't a fingerprint: one is %d hexadecimal digits", text, fingerprintDigits)
	}
	return Fingerprint(f), nil
}

// Class is the urgency of a request inside its account.
type Class uint8

// The classes of work. Interactive work of an account goes before its batch work.
const (
	Interactive Class = iota
	Batch
	// Classes is the number of classes.
	Classes
)

// String returns the word the configuration uses for the class.
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

// Key names the service of one account in one pool. Service is kept apart for
// each pool: two accounts compete only where they ask for the same capacity.
type Key struct {
	Pool    PoolID
	Account AccountID
}

// Compare orders keys, so that nothing depends on the order of a map.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Pool, other.Pool), cmp.Compare(k.Account, other.Account))
}

// HashName returns the 32-bit hash behind the identities.
func HashName(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// Account returns the identity of the named client account.
func Account(name string) AccountID { return AccountID(HashName(name)) }

// Pool returns the identity of the named pool.
func Pool(name string) PoolID { return PoolID(HashName(name)) }

// Backend returns the identity of the named backend server.
func Backend(name string) BackendID { return BackendID(HashName(name)) }

// Rendezvous returns the weight of a member for a subject under highest
// random weight hashing; the member with the highest one has the subject.
func Rendezvous(member, subject string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(subject)
	return d.Sum64()
}

// Part is a part of a prompt that other prompts may begin with as well.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is what is known of a request's prompt and of the answer wanted.
type Prompt struct {
	Tokens    int    // of the whole prompt
	MaxOutput int    // tokens of output at the most, 0 where it isn't known
	Hint      int    // tokens of output that the caller expects, 0 where it doesn't say
	Parts     []Part // in order; the last one belongs to the request or its session
	Model     string
}
