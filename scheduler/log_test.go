package scheduler

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// keysOf returns the keys of a log line, with the number of their occurrences.
func keysOf(t *testing.T, line []byte) map[string]int {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(line))
	keys := map[string]int{}
	if _, err := d.Token(); err != nil {
		t.Fatal(err)
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			t.Fatal(err)
		}
		keys[key.(string)]++
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			t.Fatal(err)
		}
	}
	return keys
}

// TestLogKeysAreUnique guards against log lines that use the key of the router that writes them for another router
// as well: a parser keeps only one of the two values.
func TestLogKeysAreUnique(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := zerolog.New(&out).With().Timestamp().Str("router", "writer").Logger()
	s := New(member.Member{}, log, telemetry.NewMetrics())
	for _, a := range []core.Action{
		core.MemberChanged{Change: member.Change{Name: "other"}},
		core.LoadsOverdue{Router: "other"},
		core.RelayChanged{From: "other", To: "another"},
		core.WatchStore{},
		core.StoreReturned{},
		core.Tried{},
	} {
		out.Reset()
		s.act(a)
		is.True(out.Len() > 0)
		for key, n := range keysOf(t, out.Bytes()) {
			if n != 1 {
				t.Errorf("%d occurrences of %q in %s", n, key, out.Bytes())
			}
		}
	}
}
