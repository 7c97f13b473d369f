package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// causeTexts are the texts for the causes of interrupted answers.
var causeTexts = map[string]string{
	"caller-stalled": "its caller took nothing of it for too long",
	"caller-left":    "its caller ended the connection",
	"backend":        "its backend server broke off",
	"time-over":      "the request's time was over",
}

// Explanation returns a text that describes why an answer was interrupted, and "" for any other line.
func (l Line) Explanation() string {
	if l.Outcome != brokeOff {
		return ""
	}
	why, known := causeTexts[l.Cause]
	if !known {
		return "" // the router's version doesn't log the cause
	}
	if l.Again {
		return "the answer broke off and was asked for again: " + why
	}
	if !l.Begun {
		return "nothing of the answer was handed on: " + why
	}
	return fmt.Sprintf("the answer broke off: %s. %d bytes of its body were read, the caller's connection took %d with the head; "+
		"the last write lasted %s, and the connection had rested %s before the request",
		why, l.AnswerBytes, l.TakenBytes, formatMS(l.WriteMS), formatMS(l.RestedMS))
}

// formatMS formats a time in milliseconds for display.
func formatMS(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Millisecond).String()
}

// BrokenAnswers is a group of interrupted answers with the same route, account and cause.
type BrokenAnswers struct {
	Route, Account, Cause string
	Count                 int
	TakenBytes            Quantiles // accepted by the callers' connections
	RestedMS              Quantiles // idle time of the connections before the requests, in milliseconds
}

// BrokenAnswers counts the answers that were interrupted after their beginning, by route, account and cause, in
// descending order of the counts.
func (l *Log) BrokenAnswers() []BrokenAnswers {
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
	var out []BrokenAnswers
	for k, s := range samples {
		out = append(out, BrokenAnswers{
			Route: k.route, Account: k.account, Cause: k.cause, Count: len(s.taken),
			TakenBytes: quantiles(s.taken), RestedMS: quantiles(s.rested),
		})
	}
	slices.SortFunc(out, func(a, b BrokenAnswers) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}
