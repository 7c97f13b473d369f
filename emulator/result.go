package emulator

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Result holds the results of an experiment.
type Result struct {
	Policy   string
	Requests int
	InTime   float64 // fraction of the requests
	Late     float64 // fraction of the requests
	Refused  float64 // fraction of the requests that were not answered
	Worth    float64 // worth of the requests in time, as a fraction of the total
	// WorstAccount is the lowest fraction of worth in time of any account in the smaller half of the accounts, each of
	// which requests no more than an equal share.
	WorstAccount       float64
	Median, P99        time.Duration // time to first token
	PrefillTokens      int           // prompt tokens processed
	RecomputedTokens   int           // tokens of shared parts that were processed more than once
	Utilization        float64       // fraction of the engines' time
	PeerBytesPerSecond float64       // payload sent by each router
	Kinds              map[string]float64
	// MinServiceRatio is the lowest ratio of what an account was served to what was attainable, over any fairness
	// window; see serviceRecorder.minServiceRatio.
	MinServiceRatio float64
	// MaxRefusalGap is the longest time for which an account was refused as over its share while none of its requests
	// started.
	MaxRefusalGap time.Duration
	// FirstTokens holds the time to first token of each answered request, sorted.
	FirstTokens []time.Duration
}

// inTime reports whether a call's answer started and continued within the objectives.
func (s *simulation) inTime(c *call) bool {
	return c.firstToken > 0 && c.firstToken <= s.Load.Kinds[c.kind].Objective && !c.stalled && c.done
}

func (s *simulation) result() Result {
	r := Result{Policy: s.Policy.Name, Kinds: map[string]float64{}}
	from, to := discoveryPeriod+s.WarmUp, discoveryPeriod+s.WarmUp+s.Length-s.excludedTail()
	worth, worthInTime := 0.0, 0.0
	kinds := make([][2]float64, len(s.Load.Kinds))
	accounts := make([][2]float64, s.Load.Accounts)
	for _, c := range s.calls {
		if c.sentAt < from || c.sentAt > to {
			continue
		}
		r.Requests++
		k := s.Load.Kinds[c.kind]
		worth += k.Worth
		kinds[c.kind][0]++
		accounts[c.account][0] += k.Worth
		switch {
		case s.inTime(c):
			r.InTime++
			worthInTime += k.Worth
			kinds[c.kind][1]++
			accounts[c.account][1] += k.Worth
		case c.firstToken > 0:
			r.Late++
		default:
			r.Refused++
		}
		if c.firstToken > 0 {
			r.FirstTokens = append(r.FirstTokens, c.firstToken)
		}
	}
	n := float64(max(r.Requests, 1))
	r.InTime, r.Late, r.Refused, r.Worth = r.InTime/n, r.Late/n, r.Refused/n, worthInTime/max(worth, 1)
	for i, k := range s.Load.Kinds {
		r.Kinds[k.Name] = kinds[i][1] / max(kinds[i][0], 1)
	}
	r.WorstAccount = worstAccount(accounts)
	r.MinServiceRatio = s.recorder.minServiceRatio()
	r.MaxRefusalGap = s.recorder.maxRefusalGap()
	s.addEngineTotals(&r)
	return r
}

// excludedTail is the length of the end of a run that isn't counted, as its answers may be incomplete.
func (s *simulation) excludedTail() time.Duration { return s.Length / 6 }

// worstAccount returns the lowest ratio of an account in the smaller half of the accounts.
func worstAccount(accounts [][2]float64) float64 {
	worst := 1.0
	for _, a := range accounts[len(accounts)/2:] {
		if a[0] > 0 {
			worst = min(worst, a[1]/a[0])
		}
	}
	return worst
}

func (s *simulation) addEngineTotals(r *Result) {
	slices.Sort(r.FirstTokens)
	if n := len(r.FirstTokens); n > 0 {
		r.Median, r.P99 = r.FirstTokens[n/2], r.FirstTokens[n*99/100]
	}
	seen := map[uint64]bool{}
	busy := time.Duration(0)
	shared := 0
	for _, id := range sortedEngines(s.engines) {
		e := s.engines[id]
		r.PrefillTokens += e.prefillTokens
		r.RecomputedTokens += e.recomputedTokens
		busy += e.busyTime
		for part := range e.computed {
			if seen[part] && part < 1<<60 {
				shared++
			}
			seen[part] = true
		}
	}
	total := discoveryPeriod + s.WarmUp + s.Length
	r.Utilization = busy.Seconds() / (s.WarmUp + s.Length).Seconds() / float64(len(s.engines))
	r.PeerBytesPerSecond = float64(s.sentBytes) / total.Seconds() / float64(len(s.routers))
}

func sortedEngines(engines map[model.BackendID]*engine) []model.BackendID {
	var out []model.BackendID
	for id := range engines {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// WriteTable writes a table with a row for each result.
func WriteTable(out io.Writer, results []Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\trequests\tin time\tlate\tnot sent\tworth\tworst account\tmedian ms\t99th ms\tread Mtok\tagain Mtok\tbusy\tB/s node\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.2f\t%.2f\t%.3f\t%.0f\t\n",
			r.Policy, r.Requests, r.InTime, r.Late, r.Refused, r.Worth, r.WorstAccount,
			r.Median.Milliseconds(), r.P99.Milliseconds(), float64(r.PrefillTokens)/1e6, float64(r.RecomputedTokens)/1e6, r.Utilization, r.PeerBytesPerSecond)
	}
	return t.Flush()
}
