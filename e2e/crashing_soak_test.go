package e2e

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	// calmBefore is the time after the last fault from which on every router counts as undisturbed, and calmFor how long
	// requests are counted then.
	calmBefore = detectionTime + 4*time.Second
	calmFor    = 5 * time.Second
)

// TestSoakCrashingPart sends requests with a part on which engines crash, beside sound ones that share its neighbours,
// while routers are killed, stopped and paused, the store is out or turns routers away, and engines end for no reason of
// the requests. Once the faults are over no more than allowedSends of the former may be sent, and sound ones must be
// served.
func TestSoakCrashingPart(t *testing.T) {
	t.Parallel()
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soakCrashingPart(t, seed) })
	}
}

func soakCrashingPart(t *testing.T, seed uint64) {
	s := &soak{platform: newPlatform(t, *soakRouters), random: rand.New(rand.NewPCG(seed, 1)), paused: map[int]bool{}}
	s.lock = &s.mu
	pool := s.startEngines(users.Behaviour{CrashOnPart: crashingPart, CrashDelay: 20 * time.Millisecond})
	c := partCase{crashing: []string{hotPart, "a1", crashingPart}}
	faults := time.Duration(*soakSeconds) * time.Second
	var callers sync.WaitGroup
	callers.Go(func() { s.sendCrashing(c, faults) })
	for until := time.Now().Add(faults); time.Now().Before(until); {
		time.Sleep(time.Duration(100+s.random.IntN(500)) * time.Millisecond)
		s.injectCrashFault(pool)
	}
	s.clearFaults()
	for _, proxy := range s.storeProxies {
		proxy.Enable()
	}
	callers.Wait()
	for _, r := range s.routers {
		s.awaitReady(r)
	}
	s.sendCrashing(c, calmBefore)
	before := time.Now()
	answers := s.sendCrashing(c, calmFor)
	late := pool.runsWhere(func(run users.Run) bool { return run.At.After(before) && slices.Contains(run.Parts, crashingPart) })
	all := pool.runsWhere(func(run users.Run) bool { return slices.Contains(run.Parts, crashingPart) })
	t.Logf("%d runs with the part, %d of them in the end; sound: %d of %d", len(all), len(late), answers.served, answers.asked)
	if len(late) > allowedSends {
		t.Errorf("requests with the part were sent %d times after the faults", len(late))
	}
	if float64(answers.served) < minServed*float64(answers.asked) {
		t.Errorf("%d of %d sound requests were served after the faults", answers.served, answers.asked)
	}
}

// injectCrashFault injects a random fault beside the crashes.
func (s *soak) injectCrashFault(pool *restartingPool) {
	i := s.random.IntN(len(s.routers))
	switch s.random.IntN(8) {
	case 0:
		s.replace(i, syscall.SIGKILL)
	case 1:
		s.replace(i, syscall.SIGTERM)
	case 2, 3:
		s.pause(i)
	case 4:
		s.storeProxies[i].Disable()
	case 5:
		s.storeProxies[i].Enable()
	case 6:
		s.store.SetDown(s.random.IntN(2) == 0)
	case 7:
		first := s.random.IntN(restartingServers)
		pool.closeAt(first, (first+1)%restartingServers, (first+2)%restartingServers)
	}
}
