// Package ts2004 reports numbers that are out of range.
package ts2004

import (
	"fmt"

	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the check TS2004.
var Check = &check.Check{
	Code: "TS2004",
	Doc: check.Doc{
		Title:    "a number is out of its range",
		Text:     "Weights lie between 0.01 and 1000, slots between 1 and 4096, and no other number is negative.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

const (
	minWeight = 0.01
	maxWeight = 1000
	maxSlots  = 4096
)

func run(p *check.Pass) {
	notNegative(p, "tokens-per-second", p.File.TokensPerSecond)
	for i, a := range p.File.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		if a.Weight != 0 && (a.Weight < minWeight || a.Weight > maxWeight) {
			p.Report(path+".weight", "weight %v is not between %v and %v", a.Weight, minWeight, maxWeight)
		}
		notNegative(p, path+".priority", float64(a.Priority))
		notNegative(p, path+".limits.concurrent", float64(a.Limits.Concurrent))
		notNegative(p, path+".limits.queue", float64(a.Limits.Queue))
		notNegative(p, path+".limits.requests-per-minute", a.Limits.RequestsPerMinute)
	}
	for i, pool := range p.File.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		notNegative(p, path+".expected-output", pool.ExpectedOutput)
		notNegative(p, path+".call-cost", pool.CallCost)
		notNegative(p, path+".memory-tokens", float64(pool.MemoryTokens))
		notNegative(p, path+".copy-rate", pool.CopyRate)
		notNegative(p, path+".connections", float64(pool.Connections))
		notNegative(p, path+".cold-rate", pool.ColdRate)
		notNegative(p, path+".cold-for", float64(pool.ColdFor))
		for j, b := range pool.Backends {
			if b.Slots < 1 || b.Slots > maxSlots {
				p.Report(fmt.Sprintf("%s.backends[%d].slots", path, j), "%d slots is not between 1 and %d", b.Slots, maxSlots)
			}
		}
	}
	for i, r := range p.File.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		notNegative(p, path+".wait", float64(r.Wait))
		notNegative(p, path+".through.timeout", float64(r.Through.Timeout))
		notNegative(p, path+".through.objective", float64(r.Through.Objective))
		notNegative(p, path+".through.pause-objective", float64(r.Through.PauseObjective))
		notNegative(p, path+".through.priority", float64(r.Through.Priority))
		notNegative(p, path+".through.attempts", float64(r.Through.Attempts))
		for j, share := range r.Split {
			notNegative(p, fmt.Sprintf("%s.split[%d].weight", path, j), share.Weight)
		}
	}
}

func notNegative(p *check.Pass, path string, v float64) {
	if v < 0 {
		p.Report(path, "a negative number")
	}
}
