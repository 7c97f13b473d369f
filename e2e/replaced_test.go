package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	// newEngines is the number of engines that replace the two of the first version.
	newEngines = 8
	// replacedTries is the number of requests for new streams afterwards, one each replacedGap.
	replacedTries = 40
	replacedGap   = 20 * time.Millisecond
)

// replaceEngines replaces the engines by ones of the next version. gone takes each of the old ones away, as soon as all
// routers know of the new ones: before, no router could send anything there.
func (p *platform) replaceEngines(gone func(*users.Backend)) {
	old := p.engines
	p.engines = nil
	for range newEngines {
		p.engineOf(nextVersion)
	}
	p.behave(p.engines, steady)
	all := fmt.Sprintf(`"backends":%d,`, len(old)+len(p.engines)+len(p.services))
	for _, r := range p.routers {
		await(p.t, r.name+" knows of the new engines", func() bool {
			return strings.Contains(linesOf("backend servers changed", r.logFile), all)
		})
	}
	for _, b := range old {
		gone(b)
	}
}

// refusedAfterReplacement returns how many requests for new streams are refused, at all routers in turn.
func (p *platform) refusedAfterReplacement() int {
	refused := 0
	for n := range replacedTries {
		if users.Call(p.routers[n%len(p.routers)].callers, p.stream()).Status == 503 {
			refused++
		}
		time.Sleep(replacedGap)
	}
	return refused
}

// TestPlatformReplacedVersionBeginsAtOnce guards against refusing every new stream for seconds because the servers of the
// only version that others are sure to know of have vanished, while those of a new one idle: the old ones are killed, or
// leave the list as well.
func TestPlatformReplacedVersionBeginsAtOnce(t *testing.T) {
	for name, gone := range map[string]func(*platform, *users.Backend){
		"killed": func(_ *platform, b *users.Backend) { b.Close() },
		"removed": func(p *platform, b *users.Backend) {
			p.store.Remove("servers/" + b.Name)
			b.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t, 3)
			p.behave(p.engines, steady)
			p.replaceEngines(func(b *users.Backend) { gone(p, b) })
			refused := p.refusedAfterReplacement()
			if refused > 0 {
				t.Errorf("%d of %d new streams were refused, beside %d idle engines", refused, replacedTries, newEngines)
			}
		})
	}
}
