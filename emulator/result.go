package emulator

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Result is what came of an experiment.
type Result struct {
	Policy   string
	Requests int
	InTime   float64 // share of the requests
	Late     float64 // share
	Refused  float64 // share that were never sent
	Worth    float64 // of what was in time, as a share of all
	// WorstAccount is the least share of worth in time of an account, of those
	// that ask for no more than an even part.
	WorstAccount float64
	Median, P99  time.Duration // until the first token
	Read         int           // tokens of prompts
	Reread       int           // of shared parts, again
	Busy         float64       // of the engines' time
	BytesPerNode float64       // a second, payload between routers
	Kinds        map[string]float64
	// LeastPart is the least part that an account got over some seconds of what it
	// might have had; see type service.
	LeastPart float64
	// Gap is the longest time for which an account was refused as beyond its share while nothing
	// of it began.
	Gap time.Duration
	// FirstTokens holds the time until each first token, sorted.
	FirstTokens []time.Duration
}

// inTime tells whether a call's answer began and went on in time.
func (w *world) inTime(c *call) bool {
	return c.first > 0 && c.first <= w.Load.Kinds[c.kind].Objective && !c.broken && c.done
}

func (w *world) result() Result {
	r := Result{Policy: w.Policy.Name, Kinds: map[string]float64{}}
	from, until := settle+w.WarmUp, settle+w.WarmUp+w.Length-w.tail()
	worth, earned := 0.0, 0.0
	kinds := make([][2]float64, len(w.Load.Kinds))
	accounts := make([][2]float64, w.Load.Accounts)
	for _, c := range w.calls {
		if c.sent < from || c.sent > until {
			continue
		}
		r.Requests++
		k := w.Load.Kinds[c.kind]
		worth += k.Worth
		kinds[c.kind][0]++
		accounts[c.account][0] += k.Worth
		switch {
		case w.inTime(c):
			r.InTime++
			earned += k.Worth
			kinds[c.kind][1]++
			accounts[c.account][1] += k.Worth
		case c.first > 0:
			r.Late++
		default:
			r.Refused++
		}
		if c.first > 0 {
			r.FirstTokens = append(r.FirstTokens, c.first)
		}
	}
	n := float64(max(r.Requests, 1))
	r.InTime, r.Late, r.Refused, r.Worth = r.InTime/n, r.Late/n, r.Refused/n, earned/max(worth, 1)
	for i, k := range w.Load.Kinds {
		r.Kinds[k.Name] = kinds[i][1] / max(kinds[i][0], 1)
	}
	r.WorstAccount = worstOf(accounts)
	r.LeastPart = w.service.leastPart()
	r.Gap = w.service.gap()
	w.sumEngines(&r)
	return r
}

// tail is the end of an experiment that doesn't count, as its answers may not
// have come.
func (w *world) tail() time.Duration { return w.Length / 6 }

// worstOf returns the least share of the smaller half of the accounts.
func worstOf(accounts [][2]float64) float64 {
	worst := 1.0
	for _, a := range accounts[len(accounts)/2:] {
		if a[0] > 0 {
			worst = min(worst, a[1]/a[0])
		}
	}
	return worst
}

func (w *world) sumEngines(r *Result) {
	slices.Sort(r.FirstTokens)
	if n := len(r.FirstTokens); n > 0 {
		r.Median, r.P99 = r.FirstTokens[n/2], r.FirstTokens[n*99/100]
	}
	seen := map[uint64]bool{}
	working := time.Duration(0)
	shared := 0
	for _, id := range sortedEngines(w.engines) {
		e := w.engines[id]
		r.Read += e.read
		r.Reread += e.reread
		working += e.working
		for part := range e.seen {
			if seen[part] && part < 1<<60 {
				shared++
			}
			seen[part] = true
		}
	}
	total := settle + w.WarmUp + w.Length
	r.Busy = working.Seconds() / (w.WarmUp + w.Length).Seconds() / float64(len(w.engines))
	r.BytesPerNode = float64(w.bytes) / total.Seconds() / float64(len(w.nodes))
}

func sortedEngines(engines map[model.BackendID]*engine) []model.BackendID {
	var out []model.BackendID
	for id := range engines {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// WriteTable writes results side by side.
func WriteTable(out io.Writer, results []Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\trequests\tin time\tlate\tnot sent\tworth\tworst account\tmedian ms\t99th ms\tread Mtok\tagain Mtok\tbusy\tB/s node\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.2f\t%.2f\t%.3f\t%.0f\t\n",
			r.Policy, r.Requests, r.InTime, r.Late, r.Refused, r.Worth, r.WorstAccount,
			r.Median.Milliseconds(), r.P99.Milliseconds(), float64(r.Read)/1e6, float64(r.Reread)/1e6, r.Busy, r.BytesPerNode)
	}
	return t.Flush()
}
