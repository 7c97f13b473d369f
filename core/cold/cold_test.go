package cold

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/internal/proptest"
	"github.com/tamarindstep/tamarindstep/model"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

// names returns n router names.
func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("router-%d", i))
	}
	return out
}

// TestTwoViewsKeepTheBound adds up the quotas of a fleet that is split into two views of its routers, of any sizes.
func TestTwoViewsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := names(rapid.IntRange(1, 70).Draw(t, "routers"))
		bound := rapid.IntRange(2, 60).Draw(t, "bound")
		known := map[string][]string{}
		for _, view := range []string{"a", "b"} {
			for _, router := range fleet {
				if rapid.Bool().Draw(t, view+router) {
					known[view] = append(known[view], router)
				}
			}
		}
		rings := map[string]*Ring{"a": NewRing(known["a"]), "b": NewRing(known["b"])}
		sum := 0
		for _, router := range fleet {
			view := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "view of "+router)
			sum += rings[view].Quota(router, "engine", bound)
		}
		if sum > bound {
			t.Fatalf("%d requests a second exceed the bound of %d", sum, bound)
		}
	})
}

// TestQuotasAddUpToHalfTheBound adds up the quotas of all routers with the same view.
func TestQuotasAddUpToHalfTheBound(t *testing.T) {
	is := is.New(t)
	bound := Limits{Overshoot: 1.5, Slack: 5}.Bound(6.1)
	is.Equal(bound, 14)
	for _, n := range []int{1, 2, 3, 9, 64, 520} {
		fleet := names(n)
		ring := NewRing(fleet)
		sum := 0
		for _, router := range fleet {
			sum += ring.Quota(router, "engine", bound)
		}
		is.Equal(sum, bound/2)
	}
	is.Equal(NewRing(names(1)).Quota("router-0", "engine", 1), 1)
	is.Equal(NewRing(names(1)).Quota("router-0", "engine", 0), 0)
	is.Equal(NewRing(nil).Quota("router-0", "engine", 14), 0)
}

// TestQuotasAreSpreadOverRouters counts the cold backend servers that each router sends to.
func TestQuotasAreSpreadOverRouters(t *testing.T) {
	is := is.New(t)
	fleet := names(64)
	ring := NewRing(fleet)
	none := 0
	for _, router := range fleet {
		n := 0
		for server := range 140 {
			if ring.Quota(router, fmt.Sprintf("engine-%d", server), 14) > 0 {
				n++
			}
		}
		is.True(n <= 35) // 6.6 in the mean
		if n == 0 {
			none++
		}
	}
	is.True(none <= 4)
}

// TestMeterKeepsTheQuota sends whenever the meter's count is below the quota, and checks each second.
func TestMeterKeepsTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := rapid.IntRange(0, 5).Draw(t, "part")
		var meter Meter
		var sent []model.Time
		now := model.Time(0)
		for range 200 {
			now += model.Time(rapid.Int64Range(0, int64(400*time.Millisecond)).Draw(t, "pause"))
			if meter.Sent(now) >= quota {
				continue
			}
			meter.Record(now)
			sent = append(sent, now)
		}
		for i := quota; i < len(sent); i++ {
			if sent[i]-sent[i-quota] <= time.Second {
				t.Fatalf("at least %d requests within a second", quota+1)
			}
		}
		if quota == 0 && len(sent) > 0 {
			t.Fatal("request sent with a quota of 0")
		}
	})
}

// BenchmarkPart measures the lookup of a router's quota.
func BenchmarkPart(b *testing.B) {
	for _, routers := range []int{9, 64, 520} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			ring := NewRing(names(routers))
			for b.Loop() {
				ring.Quota("router-1", "engine-1", 14)
			}
		})
	}
}
