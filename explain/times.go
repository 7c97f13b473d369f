package explain

import (
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// LoadAges contains the median and the 99th percentile of the age of the oldest load report of
// another router when requests were dispatched, in milliseconds.
type LoadAges struct {
	Decisions int
	P50, P99  float64
}

// LoadAges returns the ages over all decisions.
func (l *Log) LoadAges() LoadAges {
	var ages []float64
	for _, line := range l.Lines {
		if line.Outcome == dispatched {
			ages = append(ages, line.LoadsAgeMS)
		}
	}
	if len(ages) == 0 {
		return LoadAges{}
	}
	stat.SortWeighted(ages, nil)
	at := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, ages, nil) }
	return LoadAges{Decisions: len(ages), P50: at(0.5), P99: at(0.99)}
}

// Interval summarizes one second of the logs.
type Interval struct {
	Second     int // number of seconds since the first line
	Expected   Quantiles
	Actual     Quantiles // actual delays of the first parts of the same answers
	LoadsAge   Quantiles
	Dispatched int
	Refused    int // including requests refused by their header
}

// Intervals returns a summary of each second; seconds without a decision are omitted.
func (l *Log) Intervals() []Interval {
	type sample struct {
		expected, actual, ages []float64
		refused                int
	}
	var first time.Time
	for _, line := range l.Lines {
		if first.IsZero() || line.Time.Before(first) {
			first = line.Time
		}
	}
	samples := map[int]*sample{}
	sends := map[string]Line{}
	last := 0
	for _, line := range l.Lines {
		second := int(line.Time.Sub(first) / time.Second)
		last = max(last, second)
		s := samples[second]
		if s == nil {
			s = &sample{}
			samples[second] = s
		}
		send, sent := sends[line.Request]
		switch {
		case line.Outcome == dispatched:
			sends[line.Request] = line
			s.ages = append(s.ages, line.LoadsAgeMS)
		case line.Outcome == refused:
			s.refused++
		case line.Outcome == crowded:
			s.refused += max(line.Refused, 1)
		case line.Outcome == done && line.BegunMS > 0 && sent:
			s.expected = append(s.expected, send.DelayMS)
			s.actual = append(s.actual, line.BegunMS-send.AgeMS)
		}
	}
	var out []Interval
	for second := range last + 1 {
		if s := samples[second]; s != nil && len(s.ages)+s.refused > 0 {
			out = append(out, Interval{
				Second: second, Expected: quantiles(s.expected), Actual: quantiles(s.actual),
				LoadsAge: quantiles(s.ages), Dispatched: len(s.ages), Refused: s.refused,
			})
		}
	}
	return out
}

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// WritePlot draws the medians of intervals, in milliseconds by second, into a file whose extension
// selects the format (svg, png, pdf).
func WritePlot(path string, intervals []Interval) error {
	p := plot.New()
	p.Title.Text = "First parts of answers, and the age of the loads they were decided by"
	p.X.Label.Text = "second of the logs"
	p.Y.Label.Text = "ms, medians"
	curves := []struct {
		name string
		of   func(Interval) float64
	}{
		{"expected", func(m Interval) float64 { return m.Expected.P50 }},
		{"came", func(m Interval) float64 { return m.Actual.P50 }},
		{"age of loads", func(m Interval) float64 { return m.LoadsAge.P50 }},
	}
	for i, c := range curves {
		points := make(plotter.XYs, 0, len(intervals))
		for _, m := range intervals {
			points = append(points, plotter.XY{X: float64(m.Second), Y: c.of(m)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}
