package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/tamarindstep/tamarindstep/admin"
	"github.com/tamarindstep/tamarindstep/finding"
	"github.com/tamarindstep/tamarindstep/status"
)

func readStatus(r *response) (status.Fleet, error) {
	var out status.Fleet
	_, err := r.decode(&out)
	return out, err
}

// table writes rows in aligned columns; the first row is the header.
func table(w io.Writer, rows [][]any) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, cell)
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush()
}

func printDiff(w io.Writer, out admin.DiffResult) {
	if len(out.Changes) == 0 {
		fmt.Fprintf(w, "no difference from generation %d\n", out.Generation)
		return
	}
	for _, c := range out.Changes {
		fmt.Fprintln(w, c)
	}
}

func printApplied(w io.Writer, out admin.Applied) {
	_ = finding.Text(w, out.Findings)
	fmt.Fprintf(w, "generation %d is accepted\n", out.Generation)
}

func printPolicies(w io.Writer, out []admin.Policy) {
	for _, p := range out {
		mark := ""
		if p.InForce {
			mark = " (in force)"
		}
		fmt.Fprintf(w, "%s%s, since %s: %s\n    %s\n", p.Name, mark, p.Since, p.Title, p.Text)
	}
}

// formatSeconds formats a duration in milliseconds, rounded to seconds.
func formatSeconds(ms uint32) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

// formatStart formats the start time of a backend server by its own clock, "" if it is unknown.
func formatStart(bornMS uint64) string {
	if bornMS == 0 {
		return ""
	}
	return time.UnixMilli(int64(bornMS)).UTC().Format("2006-01-02T15:04:05.000Z")
}

func printStatus(w io.Writer, f status.Fleet) {
	rows := [][]any{{"ROUTER", "DATA HALL", "STATUS", "READY", "GENERATION", "POLICY", "ERROR"}}
	for _, r := range f.Routers {
		rows = append(rows, []any{r.Name, r.DataHall, r.Status, r.Ready, r.Generation, r.Policy, r.Error})
	}
	table(w, rows)
	fmt.Fprintln(w)
	rows = [][]any{{"BACKEND SERVER", "VERSION", "POOL", "OWNER", "SLOTS", "LIMIT", "OCCUPIED", "LEAVING", "EVACUATED", "STARTED"}}
	for _, b := range f.Backends {
		rows = append(rows, []any{b.Name, b.Version, b.Pool, b.Owner, b.Slots, b.Limit, b.Occupied, b.Leaving, b.Evacuated, formatStart(b.BornMS)})
	}
	table(w, rows)
	fmt.Fprintln(w)
	rows = [][]any{{"ACCOUNT", "POOL", "SERVICE", "WAITING", "RUNNING", "BACKLOGGED", "GAP"}}
	for _, a := range f.Accounts {
		rows = append(rows, []any{a.Name, a.Pool, a.Delivered, a.Waiting, a.Running, a.Backlogged, a.Gap})
	}
	table(w, rows)
	fmt.Fprintf(w, "\ngeneration %d, gap %d tokens\n", f.Generation, f.GapTokens)
	if len(f.Held) > 0 {
		fmt.Fprintln(w, "\nheld back, as backend servers ended under them:")
		rows = [][]any{{"REQUEST", "PROMPT PART", "POOL", "ACCOUNT", "SERVERS ENDED", "SINCE", "TRIED IN", "ROUTERS"}}
		for _, h := range f.Held {
			rows = append(rows, []any{h.Fingerprint, h.Part, h.Pool, h.Account, h.Ends, formatSeconds(h.SinceMS), formatSeconds(h.TryMS), h.Routers})
		}
		table(w, rows)
	}
	if len(f.Evacuated) > 0 {
		fmt.Fprintln(w, "evacuated:", strings.Join(f.Evacuated, ", "))
	}
}
