package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// TestVersionsAreCounted checks what operators see of a release: sends and times to the first event by version.
func TestVersionsAreCounted(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	s := New(Settings{}, zerolog.Nop(), metrics)
	for version, endings := range map[string][]core.Ending{
		"v1": {core.Done, core.Done, core.Broken, core.NotSent},
		"v2": {core.Done, core.Failed, core.Failed, core.Rejected},
		"":   {core.Done},
	} {
		a := &attempt{service: s, version: sentVersion{pool: "assistant", name: version}, sentAt: time.Now()}
		a.observeFirstEvent()
		for _, ending := range endings {
			a.countVersion(ending)
		}
	}
	families, err := metrics.Registry.Gather()
	is.NoErr(err)
	counted, firstEvents := map[string]float64{}, 0
	for _, f := range families {
		for _, m := range f.Metric {
			switch f.GetName() {
			case "tamarindstep_version_answers_total":
				counted[m.Label[2].GetValue()+" "+m.Label[0].GetValue()] = m.Counter.GetValue()
			case "tamarindstep_version_first_event_seconds":
				firstEvents++
			}
		}
	}
	is.Equal(counted, map[string]float64{"v1 done": 2, "v2 done": 1, "v2 failed": 2, "v2 rejected": 1})
	is.Equal(firstEvents, 2)
}
