package ctl

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/tamarindstep/tamarindstep/explain"
)

const explainHelp = `Reads routers' logs and prints what they refused, by route, account, reason and standing,
and how much later than expected the first parts of answers came. With --request, prints
that request's lines instead, with what became of an answer that broke off. A file named - is standard input. Logs may be compressed by
gzip. With --plot, draws into a file, second by second, when first parts were expected and
came, and how old the loads were that decided.

Columns:
  OVER SHARE  whether the account was beyond its share
  SHARE HAD   the part of what the account was owed that had begun, in the median
  EXPECTED    ms until an answer would begin at the best backend server: 10th, 50th and
              90th percentile; of first parts, the median of what was expected
  BACKLOG     tokens to be read before the request, below the figure
  LATE        ms later than expected: 10th, 50th and 90th percentile
  TAKEN       bytes of an answer that its caller's connection took before it broke off
  RESTED      ms that the connection had rested before the request`

// explainOptions are the flags of the explain command.
type explainOptions struct {
	request, account, route string
	plot                    string
	top                     int
}

func (o *options) explain() *cobra.Command {
	var e explainOptions
	c := &cobra.Command{
		Use: "explain LOG...", Short: "Say from routers' logs what was refused or late, and why",
		Long: explainHelp, Args: cobra.MinimumNArgs(1),
		Example: "  tamarindctl explain --top 10 logs/*\n" +
			"  tamarindctl explain --account league --plot league.svg logs/*.gz\n" +
			"  tamarindctl explain --request ca990d02ebb11aff logs/*",
		RunE: func(cmd *cobra.Command, files []string) error { return e.run(cmd, files) },
	}
	f := c.Flags()
	f.StringVar(&e.request, "request", "", "id of a request whose lines are to be printed")
	f.StringVar(&e.account, "account", "", "count this client account's requests alone")
	f.StringVar(&e.route, "route", "", "count this route's requests alone")
	f.StringVar(&e.plot, "plot", "", "file to draw into; its ending gives the format: svg, png or pdf")
	f.IntVar(&e.top, "top", 20, "rows of refusals, 0 for all")
	return c
}

func (e *explainOptions) run(cmd *cobra.Command, files []string) error {
	if e.top < 0 {
		return fmt.Errorf("--top: %d is below 0", e.top)
	}
	log := explain.Log{Request: e.request}
	for i, name := range files {
		if err := readLog(&log, name, cmd.InOrStdin()); err != nil {
			return err
		}
		progress(cmd.ErrOrStderr(), i+1, len(files), len(log.Lines))
	}
	if err := log.Check(); err != nil {
		return err
	}
	if e.request != "" {
		return e.printRequest(cmd.OutOrStdout(), &log)
	}
	log.Filter(e.account, e.route)
	e.printRefusals(cmd.OutOrStdout(), log.Refusals())
	printFirstParts(cmd.OutOrStdout(), log.FirstParts())
	printBroken(cmd.OutOrStdout(), log.BrokenAnswers())
	if a := log.LoadAges(); a.Decisions > 0 {
		fmt.Fprintf(cmd.OutOrStdout(), "\nage of the loads at %d decisions: %.0f ms in the median, %.0f at the 99th percentile\n",
			a.Decisions, a.P50, a.P99)
	}
	if log.Dropped > 0 {
		fmt.Fprintf(cmd.OutOrStdout(), "\nrouters had no time for %d more lines: the counts are too low\n", log.Dropped)
	}
	if e.plot == "" {
		return nil
	}
	if err := explain.WritePlot(e.plot, log.Intervals()); err != nil {
		return fmt.Errorf("--plot: %w", err)
	}
	return nil
}

// progressInterval is the number of logs between two progress messages.
const progressInterval = 20

// progress prints the progress of reading many logs.
func progress(w io.Writer, read, all, lines int) {
	if read%progressInterval == 0 && all > progressInterval {
		fmt.Fprintf(w, "%d of %d logs read, %d lines on requests\n", read, all, lines)
	}
}

func readLog(log *explain.Log, name string, stdin io.Reader) error {
	if name == "-" {
		return log.Read(stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // the file is only read
	if err := log.Read(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func (e *explainOptions) printRequest(w io.Writer, log *explain.Log) error {
	lines := log.RequestLines()
	if len(lines) == 0 {
		return fmt.Errorf("--request: no line is on %q", e.request)
	}
	for _, line := range lines {
		fmt.Fprintf(w, "%s\n", line.Text)
		if words := line.Explanation(); words != "" {
			fmt.Fprintf(w, "  %s\n", words)
		}
	}
	return nil
}

func (e *explainOptions) printRefusals(w io.Writer, all []explain.Refusals) {
	rows := [][]any{{"REFUSED", "ROUTE", "ACCOUNT", "REASON", "OVER SHARE", "SHARE HAD", "EXPECTED MS"}}
	omitted := 0
	for i, r := range all {
		if e.top > 0 && i >= e.top {
			omitted += r.Count
			continue
		}
		rows = append(rows, []any{
			r.Count, r.Route, r.Account, r.Reason, r.OverShare, fmt.Sprintf("%.2f", r.ShareHad.P50), percentiles(r.DelayMS),
		})
	}
	table(w, rows)
	if omitted > 0 {
		fmt.Fprintf(w, "%d more in %d rows; --top 0 prints all\n", omitted, len(all)-e.top)
	}
}

func printFirstParts(w io.Writer, all []explain.FirstParts) {
	rows := [][]any{{"ROUTE", "BACKLOG", "ANSWERS", "EXPECTED MS", "LATE MS"}}
	for _, p := range all {
		below := "more"
		if p.Below > 0 {
			below = fmt.Sprintf("< %d", p.Below)
		}
		rows = append(rows, []any{p.Route, below, p.Answers, fmt.Sprintf("%.0f", p.ExpectedMS.P50), percentiles(p.LateMS)})
	}
	fmt.Fprintln(w)
	table(w, rows)
}

// printBroken prints the interrupted answers, if there are any.
func printBroken(w io.Writer, all []explain.BrokenAnswers) {
	if len(all) == 0 {
		return
	}
	rows := [][]any{{"BROKE OFF", "ROUTE", "ACCOUNT", "CAUSE", "TAKEN BYTES", "RESTED MS"}}
	for _, b := range all {
		rows = append(rows, []any{b.Count, b.Route, b.Account, b.Cause, percentiles(b.TakenBytes), percentiles(b.RestedMS)})
	}
	fmt.Fprintln(w)
	table(w, rows)
}

func percentiles(q explain.Quantiles) string {
	return fmt.Sprintf("%.0f %.0f %.0f", q.P10, q.P50, q.P90)
}
