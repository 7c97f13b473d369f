package emulator

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// plotPoints is the number of points of a curve.
	plotPoints = 200
	// plotMaxSeconds is the largest time to first token that is shown.
	plotMaxSeconds = 3.0
)

// WritePlot writes a plot of the cumulative distribution of the time to first token, with a curve for each result.
// The file's extension selects the format.
func WritePlot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Requests whose answer has begun"
	p.X.Label.Text = "seconds since the caller's first try"
	p.Y.Label.Text = "share of the requests"
	p.X.Max = plotMaxSeconds
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Left = false
	for i, r := range results {
		line, err := plotter.NewLine(curve(r))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func curve(r Result) plotter.XYs {
	var out plotter.XYs
	at := 0
	for i := range plotPoints + 1 {
		x := plotMaxSeconds * float64(i) / plotPoints
		for at < len(r.FirstTokens) && r.FirstTokens[at].Seconds() <= x {
			at++
		}
		out = append(out, plotter.XY{X: x, Y: float64(at) / float64(max(r.Requests, 1))})
	}
	return out
}
