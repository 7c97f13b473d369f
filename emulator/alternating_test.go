package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/policy/policies"
)

// alternatingLoad returns an experiment whose engines have more capacity than is allocated as shares. Fifteen
// accounts in two groups send many times their normal load in rotation; two accounts are in both groups. All
// callers of one of these two connect to one router.
func alternatingLoad(seed uint64) Experiment {
	e := Default(policies.Find("prompt-affinity"))
	e.Routers, e.Engines, e.DataHalls = 40, 36, 3
	e.TokensPerSecond = 16_000 * float64(e.Engines)
	e.WarmUp, e.Length, e.Seed = time.Second, 14*time.Second, seed
	e.LoadReportBytesPerSecond = deployedBytesPerSecond
	e.Load.Accounts, e.Load.HotFactor, e.Load.HotGroupPeriod = 30, 12, 5*time.Second
	e.Load.HotGroups = [][]int{{0, 1, 2, 3, 4, 5, 6, 7}, {2, 3, 8, 9, 10, 11, 12, 13, 14}}
	e.Load.SingleRouterAccounts = []int{2}
	return e
}

// maxAllowedGap is the longest time for which an account may be refused as over its share with none of its requests
// started; service is compared per second.
const maxAllowedGap = time.Second

// TestNoRefusalGapWhenOthersBecomeActive guards against refusing all requests of an account for up to two seconds,
// mostly at idle engines, when other accounts start to request as much: what the account had started before was
// charged against its share.
func TestNoRefusalGapWhenOthersBecomeActive(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(6) {
		r := Run(alternatingLoad(seed + 1))
		t.Logf("seed %d: refusal gap %v, minimum service ratio %.2f, worth %.3f, refused %.3f", seed+1, r.MaxRefusalGap, r.MinServiceRatio, r.Worth, r.Refused)
		is.True(r.MaxRefusalGap <= maxAllowedGap)
		is.True(r.MinServiceRatio >= 0.5)
	}
}
