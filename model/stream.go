package model

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Build identifies the software version of a backend server, by the hash of its name. It is 0 for backend servers that
// announce no version, which count as one version.
type Build uint32

// BuildOf returns the identity of a software version.
func BuildOf(version string) Build {
	if version == "" {
		return 0
	}
	return Build(max(NameHash(version), 1))
}

// Lineage identifies the software that writes a stream. What different lineages write doesn't fit together: a stream
// can only be resumed by a backend server of the lineage that began it.
type Lineage struct {
	Pool  PoolID
	Build Build
}

// CompareLineages orders lineages.
func CompareLineages(a, b Lineage) int {
	return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Build, b.Build))
}

// ID returns a hash that identifies the lineage in messages.
func (l Lineage) ID() uint32 {
	var text [8]byte
	binary.BigEndian.PutUint32(text[:], uint32(l.Pool))
	binary.BigEndian.PutUint32(text[4:], uint32(l.Build))
	return uint32(xxhash.Sum64(text[:]))
}

// StreamID identifies a stream in the fleet, by the hash of the request that began it. It is 0 for answers that can't be
// resumed.
type StreamID uint64

// Stream returns the identity of the stream that a request of a client account begins. Two accounts may use the same
// request identifier.
func Stream(account, request string) StreamID {
	return StreamID(max(xxhash.Sum64String(account+"\x00"+request), 1))
}
