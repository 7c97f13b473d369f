package gateway

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestEventEndsInAnySplit checks that the ends of events are found with any mixture of line ends, wherever the stream is
// split.
func TestEventEndsInAnySplit(t *testing.T) {
	lineEnd := rapid.SampledFrom([]string{"\n", "\r", "\r\n"})
	line := rapid.SampledFrom([]string{"id: 7", "data: word", "data:", ":", ": a comment", "weights: 3"})
	rapid.Check(t, func(t *rapid.T) {
		var whole strings.Builder
		events := rapid.IntRange(1, 5).Draw(t, "events")
		for range events {
			for range rapid.IntRange(1, 3).Draw(t, "lines") {
				whole.WriteString(line.Draw(t, "line") + lineEnd.Draw(t, "end"))
			}
			whole.WriteString(unambiguousEnd(whole.String(), lineEnd.Draw(t, "empty")))
		}
		var s eventScanner
		found := 0
		for rest := whole.String(); rest != ""; {
			part := rest[:rapid.IntRange(1, len(rest)).Draw(t, "part")]
			rest = rest[len(part):]
			for part != "" {
				n, ended := s.next([]byte(part))
				part = part[n:]
				if ended {
					found++
				}
			}
		}
		if found != events || s.withinEvent() {
			t.Fatalf("%q: found %d events, within an event: %v", whole.String(), found, s.withinEvent())
		}
	})
}

// unambiguousEnd returns the end of an empty line after some text: LF after CR would belong to the line before.
func unambiguousEnd(text, end string) string {
	if end == "\n" && strings.HasSuffix(text, "\r") {
		return "\r\n"
	}
	return end
}

func TestWithinEvent(t *testing.T) {
	for text, within := range map[string]bool{
		"":                                false,
		"i":                               true,
		"id: 1":                           true,
		"id: 1\n":                         true,
		"id: 1\r":                         true,
		"id: 1\r\n":                       true,
		"id: 1\n\n":                       false,
		"id: 1\r\n\r\n":                   false,
		"id: 1\r\n\r":                     false,
		"id: 1\r\r":                       false,
		"id: 1\n\r\n":                     false,
		"id: 1\n\nid: 2\ndata: wo":        true,
		"id: 1\n\n: a comment\n":          false,
		"id: 1\n\n: a comm":               true,
		"id: 1\n: a comment\n":            true,
		"id: 1\n\n: a comment\ndata: x\n": true,
		"\n\n":                            false,
	} {
		var s eventScanner
		for rest := []byte(text); len(rest) > 0; {
			n, _ := s.next(rest)
			rest = rest[n:]
		}
		if s.withinEvent() != within {
			t.Errorf("%q: within an event is %v", text, s.withinEvent())
		}
	}
}

func BenchmarkEventScanner(b *testing.B) {
	part := []byte(strings.Repeat("id: 12\ndata: some words of an answer\n\n", 8))
	b.SetBytes(int64(len(part)))
	var s eventScanner
	for b.Loop() {
		for rest := part; len(rest) > 0; {
			n, _ := s.next(rest)
			rest = rest[n:]
		}
	}
}
