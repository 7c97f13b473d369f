package explain

import (
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Ages are how old the oldest word of another router was when requests were dispatched, in
// milliseconds: the median and the 99th percentile.
type Ages struct {
	Decisions int
	P50, P99  float64
}

// LoadsAges returns the ages over all decisions.
func (l *Log) LoadsAges() Ages {
	var ages []float64
	for _, line := range l.Lines {
		if line.Outcome == dispatched {
			ages = append(ages, line.LoadsAgeMS)
		}
	}
	if len(ages) == 0 {
		return Ages{}
	}
	stat.SortWeighted(ages, nil)
	at := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, ages, nil) }
	return Ages{Decisions: len(ages), P50: at(0.5), P99: at(0.99)}
}

// Moment is what happened in one second of the logs.
type Moment struct {
	Second     int // since the first line
	Expected   Quantiles
	Came       Quantiles // when first parts came, of the same answers
	LoadsAge   Quantiles
	Dispatched int
	Refused    int // or turned away by their header
}

// Moments returns what happened second by second; seconds without a decision are left out.
func (l *Log) Moments() []Moment {
	type sample struct {
		expected, came, ages []float64
		refused              int
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
			s.came = append(s.came, line.BegunMS-send.AgeMS)
		}
	}
	var out []Moment
	for second := range last + 1 {
		if s := samples[second]; s != nil && len(s.ages)+s.refused > 0 {
			out = append(out, Moment{
				Second: second, Expected: quantilesOf(s.expected), Came: quantilesOf(s.came),
				LoadsAge: quantilesOf(s.ages), Dispatched: len(s.ages), Refused: s.refused,
			})
		}
	}
	return out
}

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// WritePlot draws the medians of moments, in milliseconds by second, into a file whose ending
// gives the format (svg, png, pdf).
func WritePlot(path string, moments []Moment) error {
	p := plot.New()
	p.Title.Text = "First parts of answers, and the age of the loads they were decided by"
	p.X.Label.Text = "second of the logs"
	p.Y.Label.Text = "ms, medians"
	curves := []struct {
		name string
		of   func(Moment) float64
	}{
		{"expected", func(m Moment) float64 { return m.Expected.P50 }},
		{"came", func(m Moment) float64 { return m.Came.P50 }},
		{"age of loads", func(m Moment) float64 { return m.LoadsAge.P50 }},
	}
	for i, c := range curves {
		points := make(plotter.XYs, 0, len(moments))
		for _, m := range moments {
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
