// Package ts2008 reports values that aren't among the allowed ones.
package ts2008

import (
	"fmt"
	"slices"
	"strings"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
	"github.com/tamarindstep/tamarindstep/policy/policies"
)

// Check is the check TS2008.
var Check = &check.Check{
	Code: "TS2008",
	Doc: check.Doc{
		Title:    "a word isn't one of those allowed",
		Text:     "The version, the policy, the kinds of pools, the classes and the ways to treat claims each have a set of words.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

func run(p *check.Pass) {
	if p.File.Version != config.Version {
		p.Report("version", "version %d is not known; this program reads %d", p.File.Version, config.Version)
	}
	oneOf(p, "policy", p.File.Policy, append(policyNames(), ""))
	for i, pool := range p.File.Pools {
		oneOf(p, fmt.Sprintf("pools[%d].kind", i), pool.Kind, []string{config.KindEngine, config.KindService})
	}
	for i, r := range p.File.Routes {
		oneOf(p, fmt.Sprintf("routes[%d].class", i), r.Class, []string{"interactive", "batch", ""})
		oneOf(p, fmt.Sprintf("routes[%d].claims", i), r.Claims, []string{config.ClaimsRequired, config.ClaimsBestEffort, ""})
	}
}

func policyNames() []string {
	var out []string
	for _, policy := range policies.All {
		out = append(out, policy.Name)
	}
	return out
}

func oneOf(p *check.Pass, path, got string, allowed []string) {
	if slices.Contains(allowed, got) {
		return
	}
	allowed = slices.DeleteFunc(slices.Clone(allowed), func(s string) bool { return s == "" })
	p.Report(path, "%q is not one of: %s", got, strings.Join(allowed, ", "))
}
