package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/policy/policies"
)

// byTurns is a fleet whose engines make more than is shared out, before fifteen accounts that send many
// times their usual by turns, two of them in both. All callers of one of these two reach one router.
func byTurns(seed uint64) Experiment {
	e := Default(policies.Find("prompt-affinity"))
	e.Routers, e.Engines, e.Halls = 40, 36, 3
	e.TokensPerSecond = 16_000 * float64(e.Engines)
	e.WarmUp, e.Length, e.Seed = time.Second, 14*time.Second, seed
	e.LoadsBytes = deployedBytes
	e.Load.Accounts, e.Load.HotFactor, e.Load.TurnFor = 30, 12, 5*time.Second
	e.Load.Turns = [][]int{{0, 1, 2, 3, 4, 5, 6, 7}, {2, 3, 8, 9, 10, 11, 12, 13, 14}}
	e.Load.AtOneRouter = []int{2}
	return e
}

// longestGap is how long an account may be refused as beyond its share with nothing of it begun: users
// compare accounts second by second.
const longestGap = time.Second

// TestNobodyStopsAsOthersBeginToAsk is of accounts that were refused altogether for up to two seconds, most of
// them at idle engines, as others began to ask for as much: what they had begun before counted against them.
func TestNobodyStopsAsOthersBeginToAsk(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(6) {
		r := Run(byTurns(seed + 1))
		t.Logf("seed %d: gap %v, least part %.2f, worth %.3f, refused %.3f", seed+1, r.Gap, r.LeastPart, r.Worth, r.Refused)
		is.True(r.Gap <= longestGap)
		is.True(r.LeastPart >= 0.5)
	}
}
