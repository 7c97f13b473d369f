package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// at returns the time of a line so many milliseconds into the log.
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

func TestRefusalsAreCountedByStanding(t *testing.T) {
	is := is.New(t)
	l := read(t,
		refusal("1", "league", false, 0.2, 100),
		refusal("2", "league", false, 0.4, 300),
		refusal("3", "league", false, 0.3, 200),
		refusal("4", "league", true, 1.5, 90),
		refusal("5", "billing", false, 0, 90),
		`{"router":"vm-1","request":"6","account":"billing","route":"chat","outcome":"crowded","refused":40,"share_had":0.3}`,
		"a line of something else",
		`{"level":"warn","dropped":7}`,
	)
	is.NoErr(l.Check())
	is.Equal(l.Foreign, 1)
	is.Equal(l.Dropped, 7)
	got := l.Refusals()
	is.Equal(len(got), 4)
	is.Equal(got[0].Count, 40)
	is.Equal(got[0].Reason, byHeader)
	is.Equal(got[1].RefusalKey, RefusalKey{Route: "chat", Account: "league", Reason: "no-room"})
	is.Equal(got[1].Count, 3)
	is.Equal(got[1].ShareHad.P50, 0.3)
	is.Equal(got[1].DelayMS, Quantiles{P10: 100, P50: 200, P90: 300})
	l.Keep("billing", "chat")
	is.Equal(len(l.Refusals()), 2)
}

// TestFirstPartsCountFromTheirLastSend sends one request twice: what was expected of the
// second send is compared with what came after it.
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
		dispatch("4", 0, 80, 100), answer("4", 0), // answered whole
		answer("5", 100), // its dispatch was dropped
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
	l := read(t, line("done", 120), line("dispatched", 100), `{"router":"vm-1","request":"b","outcome":"done"}`)
	lines := l.Of("a")
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Outcome, "dispatched") // 00.1 before 00.12
	is.Equal(len(l.Of("c")), 0)
}

func TestLogsOfOthersAreToldSo(t *testing.T) {
	is := is.New(t)
	l := read(t, "hello", `{"msg":"hello"}`, "{broken")
	is.True(errorx.IsOfType(l.Check(), NoLines))
	var long Log
	is.True(long.Read(strings.NewReader(strings.Repeat("x", maxLine+1))) != nil)
}
