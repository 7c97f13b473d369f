package explain

import (
	"cmp"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Quantiles are the 10th, 50th and 90th percentiles.
type Quantiles struct{ P10, P50, P90 float64 }

// quantiles returns the quantiles of values, or zeros if there are none. It sorts values.
func quantiles(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	slices.Sort(values)
	at := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, values, nil) }
	return Quantiles{P10: at(0.1), P50: at(0.5), P90: at(0.9)}
}

// RefusalKey is the key that refusals are grouped by.
type RefusalKey struct {
	Route, Account, Reason string
	OverShare              bool // the account exceeded its share
}

// Refusals is a group of refusals with the same key.
type Refusals struct {
	RefusalKey
	Count    int
	ShareHad Quantiles // fraction of the account's share that it had received
	DelayMS  Quantiles // expected delay at the best backend server, in milliseconds
}

// byHeader is appended to the reason of requests that were refused by their header.
const byHeader = ", by header"

// Refusals counts the refusals by key, in descending order of the counts.
func (l *Log) Refusals() []Refusals {
	type sample struct {
		count         int
		shares, delay []float64
	}
	samples := map[RefusalKey]*sample{}
	for _, line := range l.Lines {
		key := RefusalKey{Route: line.Route, Account: line.Account, Reason: line.Reason, OverShare: line.OverShare}
		count := 1
		switch line.Outcome {
		case refused:
		case crowded:
			key.Reason, count = line.Reason+byHeader, max(line.Refused, 1)
		default:
			continue
		}
		s := samples[key]
		if s == nil {
			s = &sample{}
			samples[key] = s
		}
		s.count += count
		s.shares = append(s.shares, line.ShareHad)
		s.delay = append(s.delay, line.DelayMS)
	}
	var out []Refusals
	for key, s := range samples {
		out = append(out, Refusals{RefusalKey: key, Count: s.count, ShareHad: quantiles(s.shares), DelayMS: quantiles(s.delay)})
	}
	slices.SortFunc(out, func(a, b Refusals) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), compareKeys(a.RefusalKey, b.RefusalKey))
	})
	return out
}

func compareKeys(a, b RefusalKey) int {
	over := func(k RefusalKey) int {
		if k.OverShare {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Reason, b.Reason), cmp.Compare(over(a), over(b)))
}

// backlogBounds are the upper bounds of the backlog, in tokens, that answers are grouped by.
var backlogBounds = []int{500, 2000, 5000, 10_000, 20_000}

// FirstParts compares the expected with the actual delay until the first part of an answer, for
// a group of answers.
type FirstParts struct {
	Route      string
	Below      int // upper bound of the backlog, in tokens; 0 for none
	Answers    int
	ExpectedMS Quantiles
	LateMS     Quantiles // actual minus expected delay, in milliseconds
}

// FirstParts compares the expected with the actual delays, by route and backlog. It considers only
// streamed answers, and only the last attempt of requests that were sent several times.
func (l *Log) FirstParts() []FirstParts {
	type key struct {
		route string
		below int
	}
	type sample struct{ expected, late []float64 }
	sends := map[string]Line{}
	samples := map[key]*sample{}
	for _, line := range l.Lines {
		if line.Outcome == dispatched {
			sends[line.Request] = line
		}
		send, sent := sends[line.Request]
		if line.Outcome != done || line.BegunMS <= 0 || !sent || send.DelayMS <= 0 {
			continue
		}
		k := key{send.Route, backlogBound(send.Backlog)}
		if samples[k] == nil {
			samples[k] = &sample{}
		}
		s := samples[k]
		s.expected = append(s.expected, send.DelayMS)
		s.late = append(s.late, line.BegunMS-send.AgeMS-send.DelayMS)
	}
	var out []FirstParts
	for k, s := range samples {
		out = append(out, FirstParts{
			Route: k.route, Below: k.below, Answers: len(s.late),
			ExpectedMS: quantiles(s.expected), LateMS: quantiles(s.late),
		})
	}
	slices.SortFunc(out, func(a, b FirstParts) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(sortKey(a.Below), sortKey(b.Below)))
	})
	return out
}

// backlogBound returns the lowest bound above a backlog, or 0 if there is none.
func backlogBound(backlog int) int {
	for _, bound := range backlogBounds {
		if backlog < bound {
			return bound
		}
	}
	return 0
}

// sortKey returns a key that sorts the answers above all bounds last.
func sortKey(below int) int {
	if below == 0 {
		return backlogBounds[len(backlogBounds)-1] + 1
	}
	return below
}
