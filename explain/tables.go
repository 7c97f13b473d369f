package explain

import (
	"cmp"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Quantiles are the 10th, 50th and 90th percentiles.
type Quantiles struct{ P10, P50, P90 float64 }

// quantilesOf returns those of values, in any order; 0 for none.
func quantilesOf(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	slices.Sort(values)
	at := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, values, nil) }
	return Quantiles{P10: at(0.1), P50: at(0.5), P90: at(0.9)}
}

// RefusalKey is what refusals are counted by.
type RefusalKey struct {
	Route, Account, Reason string
	OverShare              bool // the account was beyond its share
}

// Refusals are the refusals of a kind.
type Refusals struct {
	RefusalKey
	Count    int
	ShareHad Quantiles // of what the account was owed
	DelayMS  Quantiles // expected at the best backend server, in milliseconds
}

// byHeader stands behind the reason of requests that were refused by their header.
const byHeader = ", by header"

// Refusals counts the refusals by route, account, reason and standing, the most first.
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
		out = append(out, Refusals{RefusalKey: key, Count: s.count, ShareHad: quantilesOf(s.shares), DelayMS: quantilesOf(s.delay)})
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

// backlogs are the bounds, in tokens, by which answers are put together.
var backlogs = []int{500, 2000, 5000, 10_000, 20_000}

// FirstParts tells how well the time until the first part of an answer was expected.
type FirstParts struct {
	Route      string
	Below      int // tokens of backlog, the bound of these answers; 0 for none
	Answers    int
	ExpectedMS Quantiles
	LateMS     Quantiles // how much later than expected it came, in milliseconds
}

// FirstParts compares what was expected with what came, by route and backlog. Only answers
// whose parts came one by one tell, and of requests sent several times the last send.
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
		k := key{send.Route, boundOf(send.Backlog)}
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
			ExpectedMS: quantilesOf(s.expected), LateMS: quantilesOf(s.late),
		})
	}
	slices.SortFunc(out, func(a, b FirstParts) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(order(a.Below), order(b.Below)))
	})
	return out
}

// boundOf returns the least bound above a backlog, 0 where it is above all.
func boundOf(backlog int) int {
	for _, bound := range backlogs {
		if backlog < bound {
			return bound
		}
	}
	return 0
}

// order puts the answers above all bounds last.
func order(below int) int {
	if below == 0 {
		return backlogs[len(backlogs)-1] + 1
	}
	return below
}
