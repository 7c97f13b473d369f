package explain

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// at returns the timestamp of a line ms milliseconds after the start of the log.
func at(ms int) string {
	return time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
}

func read(t *testing.T, lines ...string) *Log {
	t.Helper()
	var l Log
	if err := l.Read(strings.NewReader(strings.Join(lines, "\n"))); err != nil {
		t.Fatal(err)
	}
	return &l
}

func refusal(request, account string, over bool, had, delay float64) string {
	return fmt.Sprintf(`12.5 vm-1 {"router":"vm-1","request":%q,"account":%q,"route":"chat","outcome":"refused",`+
		`"reason":"no-room","over_share":%t,"share_had":%g,"delay_ms":%g,"time":%q}`, request, account, over, had, delay, at(0))
}

func TestRefusalsAreCountedByShare(t *testing.T) {
	is := is.New(t)
	l := read(t,
		refusal("1", "league", false, 0.2, 100),
		refusal("2", "league", false, 0.4, 300),
		refusal("3", "league", false, 0.3, 200),
		refusal("4", "league", true, 1.5, 90),
		refusal("5", "billing", false, 0, 90),
		`{"router":"vm-1","request":"6","account":"billing","route":"chat","outcome":"crowded","reason":"busy","refused":40,"share_had":0.3}`,
		"a line of something else",
		`{"level":"warn","dropped":7}`,
	)
	is.NoErr(l.Check())
	is.Equal(l.Unrecognized, 1)
	is.Equal(l.Dropped, 7)
	got := l.Refusals()
	is.Equal(len(got), 4)
	is.Equal(got[0].Count, 40)
	is.Equal(got[0].Reason, "busy"+byHeader)
	is.Equal(got[1].RefusalKey, RefusalKey{Route: "chat", Account: "league", Reason: "no-room"})
	is.Equal(got[1].Count, 3)
	is.Equal(got[1].ShareHad.P50, 0.3)
	is.Equal(got[1].DelayMS, Quantiles{P10: 100, P50: 200, P90: 300})
	l.Filter("billing", "chat")
	is.Equal(len(l.Refusals()), 2)
}

// TestFirstPartsCountFromTheirLastSend reads a request that was sent twice. The delay expected for
// the second attempt is compared with the actual delay after it.
func TestFirstPartsCountFromTheirLastSend(t *testing.T) {
	is := is.New(t)
	dispatch := func(request string, age, delay float64, backlog int) string {
		return fmt.Sprintf(`{"router":"vm-1","request":%q,"route":"chat","outcome":"dispatched","age_ms":%g,"delay_ms":%g,"backlog":%d}`, request, age, delay, backlog)
	}
	answer := func(request string, begun float64) string {
		return fmt.Sprintf(`{"router":"vm-1","request":%q,"route":"chat","outcome":"done","age_ms":900,"begun_ms":%g}`, request, begun)
	}
	got := read(t,
		dispatch("1", 10, 100, 100), dispatch("1", 300, 150, 1000), answer("1", 500),
		dispatch("2", 0, 80, 50_000), answer("2", 70),
		dispatch("3", 0, 80, 100),                 // not answered
		dispatch("4", 0, 80, 100), answer("4", 0), // answer not streamed
		answer("5", 100), // its dispatch line was dropped
	).FirstParts()
	is.Equal(len(got), 2)
	is.Equal(got[0].Below, 2000)
	is.Equal(got[0].Answers, 1)
	is.Equal(got[0].LateMS.P50, 50.0)
	is.Equal(got[1].Below, 0)
	is.Equal(got[1].LateMS.P50, -10.0)
}

func TestLinesOfARequestAreInOrder(t *testing.T) {
	is := is.New(t)
	line := func(outcome string, ms int) string {
		return fmt.Sprintf(`{"router":"vm-1","request":"a","outcome":%q,"time":%q}`, outcome, at(ms))
	}
	text := line("done", 120) + "\n" + line("dispatched", 100) + "\n" + `{"router":"vm-1","request":"b","outcome":"done"}`
	l := Log{Request: "a"}
	is.NoErr(l.Read(strings.NewReader(text)))
	lines := l.RequestLines()
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Outcome, "dispatched") // 00.1 before 00.12
	is.Equal(string(lines[1].Text), line("done", 120))
	none := Log{Request: "c"}
	is.NoErr(none.Read(strings.NewReader(text)))
	is.NoErr(none.Check()) // there are lines about other requests
	is.Equal(len(none.RequestLines()), 0)
}

// TestCompressedLogsAreRead reads a compressed log, a truncated compressed log, and a plain log
// shorter than the magic number.
func TestCompressedLogsAreRead(t *testing.T) {
	is := is.New(t)
	text := refusal("1", "league", false, 0.2, 100) + "\n" + refusal("2", "league", false, 0.4, 300) + "\n"
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, err := w.Write([]byte(text))
	is.NoErr(err)
	is.NoErr(w.Close())
	var l Log
	is.NoErr(l.Read(bytes.NewReader(packed.Bytes())))
	is.Equal(len(l.Lines), 2)
	var cut Log
	is.True(cut.Read(bytes.NewReader(packed.Bytes()[:packed.Len()-12])) != nil)
	var short Log
	is.NoErr(short.Read(strings.NewReader("x")))
	is.Equal(short.Unrecognized, 1)
}

// TestIntervalsAreBySecond reads two seconds of decisions with an empty second between them.
func TestIntervalsAreBySecond(t *testing.T) {
	is := is.New(t)
	line := func(request, outcome string, ms int, rest string) string {
		return fmt.Sprintf(`{"router":"vm-1","request":%q,"route":"chat","outcome":%q,"time":%q,%s}`, request, outcome, at(ms), rest)
	}
	l := read(t,
		line("1", "dispatched", 0, `"delay_ms":100,"age_ms":10,"loads_age_ms":40`),
		line("1", "done", 900, `"begun_ms":160`),
		line("2", "refused", 950, `"delay_ms":500`),
		line("3", "dispatched", 2100, `"delay_ms":80,"age_ms":0,"loads_age_ms":60`),
		line("4", "crowded", 2200, `"refused":7`),
	)
	is.Equal(l.LoadAges(), LoadAges{Decisions: 2, P50: 40, P99: 60})
	got := l.Intervals()
	is.Equal(len(got), 2)
	is.Equal(got[0].Expected.P50, 100.0)
	is.Equal(got[0].Actual.P50, 150.0)
	is.Equal(got[0].Refused, 1)
	is.Equal(got[1].Second, 2)
	is.Equal(got[1].Refused, 7)
	is.Equal(got[1].LoadsAge.P50, 60.0)
	file := filepath.Join(t.TempDir(), "plot.svg")
	is.NoErr(WritePlot(file, got))
	drawn, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(bytes.Contains(drawn, []byte("<svg")))
	is.True(WritePlot(filepath.Join(t.TempDir(), "plot.unknown"), got) != nil)
}

func TestLogsOfOtherProgramsAreRejected(t *testing.T) {
	is := is.New(t)
	l := read(t, "hello", `{"msg":"hello"}`, "{broken")
	is.True(errorx.IsOfType(l.Check(), NoLines))
	var long Log
	is.True(long.Read(strings.NewReader(strings.Repeat("x", maxLine+1))) != nil)
}

// TestBrokenAnswersAreExplained reads interrupted answers: after and before their first byte, continued by another
// backend server, and from a router that doesn't log the cause.
func TestBrokenAnswersAreExplained(t *testing.T) {
	is := is.New(t)
	line := func(request, rest string) string {
		return fmt.Sprintf(`{"router":"vm-1","request":%q,"account":"league","route":"look","outcome":"broke-off",%s}`, request, rest)
	}
	l := read(t,
		line("1", `"cause":"caller-stalled","begun":true,"answer_bytes":300000,"taken_bytes":4096,"write_ms":10000.4,"rested_ms":11000`),
		line("2", `"cause":"caller-stalled","begun":true,"taken_bytes":2000,"rested_ms":0`),
		line("3", `"cause":"backend","begun":false`),
		line("4", `"cause":"backend","begun":true,"again":true`),
		line("5", `"begun":true`),
		`{"router":"vm-1","request":"6","outcome":"done"}`,
	)
	var words []string
	for _, line := range l.Lines {
		words = append(words, line.Explanation())
	}
	is.Equal(words, []string{
		"the answer broke off: its caller took nothing of it for too long. 300000 bytes of its body were read, the caller's connection took " +
			"4096 with the head; the last write lasted 10s, and the connection had rested 11s before the request",
		"the answer broke off: its caller took nothing of it for too long. 0 bytes of its body were read, the caller's connection took " +
			"2000 with the head; the last write lasted 0s, and the connection had rested 0s before the request",
		"nothing of the answer was handed on: its backend server broke off",
		"the answer broke off and was asked for again: its backend server broke off",
		"", "",
	})
	got := l.BrokenAnswers()
	is.Equal(len(got), 2)
	is.Equal(got[0], BrokenAnswers{
		Route: "look", Account: "league", Cause: "caller-stalled", Count: 2,
		TakenBytes: Quantiles{P10: 2000, P50: 2000, P90: 4096}, RestedMS: Quantiles{P50: 0, P90: 11000},
	})
	is.Equal(got[1].Cause, "") // a router that doesn't log the cause
}
