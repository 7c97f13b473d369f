package e2e

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// The tests in this file guard against requests that crash one backend server after another because of one part of their
// prompts, and of which no two are alike: a record of whole requests takes each for a new one. With nine routers and
// nine engines, 26 of them were sent after the fifth crash, and 35 engines crashed in all.

const (
	crashingPart = "bad0"
	hotPart      = "a0" // the first part of the prompts on the route
	// provenCrashes is the number of crashes after which requests with the part are no longer sent, but for allowedSends,
	// once detectionTime has passed.
	provenCrashes = 5
	soundCallers  = 12
	// minServed is the part of sound requests that must be served, of the part that is served without crashes.
	minServed = 0.5
)

// partCase is a case of prompts with a part on which servers crash.
type partCase struct {
	crashing  []string // parts of the prompts before the last one
	afterHead bool
}

// crashAnswers are the answers to the sound callers.
type crashAnswers struct {
	mu            sync.Mutex
	served, asked int
	lastCrashing  []users.Answer
}

// sendUntil sends a caller's requests until a time, and calls done with each answer.
func (p *platform) sendUntil(until time.Time, name string, period time.Duration, request func(n int) users.Request, done func(users.Answer)) {
	for n := 0; time.Now().Before(until); n++ {
		r := request(n)
		r.Method, r.Path, r.Key, r.ID = "POST", "/chat/1", callerKey, fmt.Sprintf("%s-%d", name, n)
		done(users.Call(p.routerAt(n).callers, r))
		time.Sleep(period)
	}
}

// sendCrashing sends requests with the part on which servers crash, no two alike, beside sound requests of the same
// account, which share the other parts.
func (p *platform) sendCrashing(c partCase, duration time.Duration) *crashAnswers {
	out := &crashAnswers{}
	until := time.Now().Add(duration)
	var callers sync.WaitGroup
	callers.Go(func() {
		p.sendUntil(until, "crashing", 400*time.Millisecond, func(n int) users.Request {
			return users.Request{Body: fmt.Sprint("unlike ", n), Parts: append(slices.Clone(c.crashing), fmt.Sprintf("c%x", n))}
		}, func(got users.Answer) {
			out.mu.Lock()
			defer out.mu.Unlock()
			out.lastCrashing = append(out.lastCrashing, got)
		})
	})
	for caller := range soundCallers {
		callers.Go(func() {
			p.sendUntil(until, fmt.Sprintf("sound-%d", caller), 200*time.Millisecond, func(n int) users.Request {
				own := fmt.Sprintf("d%x%03x", caller, n)
				return users.Request{Body: own, Parts: []string{hotPart, "a1", fmt.Sprintf("a2%x", caller), own}}
			}, func(got users.Answer) {
				out.mu.Lock()
				defer out.mu.Unlock()
				out.asked++
				if got.Status == 200 && got.Err == nil {
					out.served++
				}
			})
		})
	}
	callers.Wait()
	return out
}

// startEngines replaces the engines by ones that restart.
func (p *platform) startEngines(behaviour users.Behaviour) *restartingPool {
	behaviour.Events, behaviour.Gap = 3, 10*time.Millisecond
	return p.replaceByRestarting("engines", p.engines, p.request("POST", "/chat/first"), behaviour)
}

// sendsAfterProof returns the number of runs with the part on which servers crash, and how many of them began later than
// detectionTime after the crash by which the part was proven.
func (pool *restartingPool) sendsAfterProof(crashDelay time.Duration) (runs, late int) {
	all := pool.runsWhere(func(run users.Run) bool { return slices.Contains(run.Parts, crashingPart) })
	if len(all) < provenCrashes {
		return len(all), 0
	}
	from := all[provenCrashes-1].At.Add(crashDelay + detectionTime)
	for _, run := range all {
		if run.At.After(from) {
			late++
		}
	}
	return len(all), late
}

// TestPlatformCrashingPromptPartIsHeldBack sends prompts with one part on which servers crash: at most allowedSends of
// them may be sent after the fifth crash, while the others are served on.
func TestPlatformCrashingPromptPartIsHeldBack(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]partCase{
		"third part":                 {crashing: []string{hotPart, "a1", crashingPart}},
		"third part, after the head": {crashing: []string{hotPart, "a1", crashingPart}, afterHead: true},
		"first part":                 {crashing: []string{crashingPart, "a1"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t, 6)
			behaviour := users.Behaviour{CrashOnPart: crashingPart, CrashAfterHead: c.afterHead, CrashDelay: 30 * time.Millisecond}
			pool := p.startEngines(behaviour)
			before := p.sendCrashing(partCase{crashing: []string{hotPart, "a1"}}, 3*time.Second)
			answers := p.sendCrashing(c, 16*time.Second)
			runs, late := pool.sendsAfterProof(behaviour.CrashDelay)
			t.Logf("%d crashing runs, %d late; sound: %d of %d, %d of %d before", runs, late, answers.served, answers.asked, before.served, before.asked)
			if late > allowedSends {
				t.Errorf("requests with the part were sent %d times late, of %d", late, runs)
			}
			if float64(answers.served)/float64(answers.asked) < minServed*float64(before.served)/float64(before.asked) {
				t.Errorf("%d of %d sound requests were served, %d of %d before", answers.served, answers.asked, before.served, before.asked)
			}
		})
	}
}

// TestPlatformCrashingPromptPartSurvivesRestarts guards against the loss of what is held back when all routers are killed
// at once.
func TestPlatformCrashingPromptPartSurvivesRestarts(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 3)
	pool := p.startEngines(users.Behaviour{CrashOnPart: crashingPart, CrashDelay: 30 * time.Millisecond})
	c := partCase{crashing: []string{hotPart, "a1", crashingPart}}
	p.sendCrashing(c, 6*time.Second)
	await(t, "what is held back is stored", func() bool { return len(p.store.Keys("tamarindstep/held")) == 1 })
	for _, r := range p.routers {
		p.is.NoErr(r.cmd.Process.Kill())
		<-r.exited
	}
	p.routers = nil
	for i := range 3 {
		p.routers = append(p.routers, p.start(i))
	}
	for _, r := range p.routers {
		p.awaitReady(r)
	}
	before, _ := pool.sendsAfterProof(0)
	answers := p.sendCrashing(c, 8*time.Second)
	if after, _ := pool.sendsAfterProof(0); after-before > allowedSends {
		t.Errorf("requests with the part were sent %d more times by restarted routers", after-before)
	}
	if answers.served*2 < answers.asked {
		t.Errorf("%d of %d sound requests were served", answers.served, answers.asked)
	}
}

// TestPlatformSharedPromptPartsSurviveServerFailures guards against parts of sound prompts that are held back because
// servers failed for other reasons: all prompts share their first part, and servers end in waves.
func TestPlatformSharedPromptPartsSurviveServerFailures(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 4)
	pool := p.startEngines(users.Behaviour{})
	var waves sync.WaitGroup
	waves.Go(func() {
		for wave := range 6 {
			time.Sleep(time.Second)
			var indices []int
			for i := wave % 3; i < restartingServers; i += 3 {
				indices = append(indices, i)
			}
			pool.closeAt(indices...)
		}
	})
	during := p.sendCrashing(partCase{crashing: []string{hotPart, "a1"}}, 7*time.Second)
	waves.Wait()
	after := p.sendCrashing(partCase{crashing: []string{hotPart, "a1"}}, 3*time.Second)
	t.Logf("served %d of %d during the waves, %d of %d after", during.served, during.asked, after.served, after.asked)
	p.is.Equal(linesOf("prompt part held back", p.logFiles...), "")
	if after.served*10 < after.asked*9 {
		t.Errorf("%d of %d requests were served after the waves", after.served, after.asked)
	}
}
