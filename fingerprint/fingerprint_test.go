package fingerprint

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestFieldsAreDistinguished(t *testing.T) {
	is := is.New(t)
	m := NewHasher([]byte("a key"))
	first := Request{Account: "league", Path: []byte("/ab"), Body: []byte("c")}
	again := Request{Account: "league", Path: []byte("/ab"), Body: []byte("c")}
	is.Equal(m.Of(first), m.Of(again))
	others := []Request{
		{Account: "league", Path: []byte("/a"), Body: []byte("bc")},
		{Account: "utility", Path: []byte("/ab"), Body: []byte("c")},
		{Account: "league", Path: []byte("/ab"), Body: []byte("d")},
		{Account: "league", Path: []byte("/ab"), Method: []byte("GET"), Body: []byte("c")},
	}
	for _, other := range others {
		is.True(m.Of(other) != m.Of(first))
	}
	is.True(NewHasher([]byte("another key")).Of(first) != m.Of(first))
}

func BenchmarkOf(b *testing.B) {
	m := NewHasher([]byte("a key"))
	r := Request{Account: "league", Path: []byte("/chat/"), Body: bytes.Repeat([]byte("x"), 10_000)}
	for b.Loop() {
		m.Of(r)
	}
}
