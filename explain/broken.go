package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// causes are the causes of answers that broke off, in words.
var causes = map[string]string{
	"caller-stalled": "its caller took nothing of it for too long",
	"caller-left":    "its caller ended the connection",
	"backend":        "its backend server broke off",
	"time-over":      "the request's time was over",
}

// Words says of an answer that broke off what became of it and why, "" for any other line.
func (l Line) Words() string {
	if l.Outcome != brokeOff {
		return ""
	}
	why, known := causes[l.Cause]
	if !known {
		return "" // of a router that doesn't tell
	}
	if l.Again {
		return "the answer broke off and was asked for again: " + why
	}
	if !l.Begun {
		return "nothing of the answer was handed on: " + why
	}
	return fmt.Sprintf("the answer broke off: %s. %d bytes of its body were read, the caller's connection took %d with the head; "+
		"the last write lasted %s, and the connection had rested %s before the request",
		why, l.AnswerBytes, l.TakenBytes, inSeconds(l.WriteMS), inSeconds(l.RestedMS))
}

// inSeconds writes a time in milliseconds for people.
func inSeconds(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Millisecond).String()
}

// Broken are the answers of a kind that broke off towards their callers.
type Broken struct {
	Route, Account, Cause string
	Count                 int
	TakenBytes            Quantiles // by the callers' connections
	RestedMS              Quantiles // of the connections before the requests, in milliseconds
}

// Broken counts the answers that had begun and broke off, by route, account and cause, the most first.
func (l *Log) Broken() []Broken {
	type key struct{ route, account, cause string }
	type sample struct{ taken, rested []float64 }
	samples := map[key]*sample{}
	for _, line := range l.Lines {
		if line.Outcome != brokeOff || !line.Begun || line.Again {
			continue
		}
		k := key{line.Route, line.Account, line.Cause}
		if samples[k] == nil {
			samples[k] = &sample{}
		}
		samples[k].taken = append(samples[k].taken, float64(line.TakenBytes))
		samples[k].rested = append(samples[k].rested, line.RestedMS)
	}
	var out []Broken
	for k, s := range samples {
		out = append(out, Broken{
			Route: k.route, Account: k.account, Cause: k.cause, Count: len(s.taken),
			TakenBytes: quantilesOf(s.taken), RestedMS: quantilesOf(s.rested),
		})
	}
	slices.SortFunc(out, func(a, b Broken) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}
