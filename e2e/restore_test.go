package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The tests in this file guard against routers that don't handle a restore of the store to an earlier revision, after which
// it assigns revisions again that it had assigned before. A router that considers any lower revision older ignores the
// changes after a restore: servers that announced that they drain got 94 of some 180 requests. If the copy is older than
// the peer key, and routers only read the key after creating it once, a new router can't join the others: one was alone for
// fifteen seconds. In the tests the store is restored while three routers watch it.

// observationTime is how long the routers are observed after a restore.
const observationTime = 3 * time.Second

// addRevisions makes a number of changes to an unrelated key of the store.
func (p *platform) addRevisions(changes int) {
	for i := range changes {
		p.store.Put("others/key", []byte(fmt.Sprint(i)))
	}
}

func TestPlatformDrainingServersGetNothingAfterStoreRestore(t *testing.T) {
	t.Parallel()
	p, pool := newPool(t, 3)
	revision := p.store.Revision()
	p.addRevisions(60)
	pool[0].Announce("draining")
	time.Sleep(maxLeaveDelay) // until all routers have received it
	p.store.Restore(revision)
	restored := time.Now()
	for _, b := range pool[1:] {
		b.Announce("ready")
	}
	answers := p.startLoad(2*observationTime, continuousLoad(12))
	time.Sleep(time.Second)
	pool[1].Announce("draining")
	drained := time.Now()
	got := statuses(answers())
	late := pool[1].Arrivals(drained.Add(maxLeaveDelay), time.Now())
	t.Logf("callers got, by status: %v; %d requests reached a draining server more than two seconds after its announcement", got, late)
	if late > 0 {
		t.Errorf("%d requests reached a draining server", late)
	}
	if n := pool[0].Arrivals(restored, restored.Add(observationTime)); n > 0 {
		t.Errorf("%d requests reached a server that had announced before the restore that it drains", n)
	}
	p.is.Equal(len(got), 1)
}

// memberCount returns how many routers a router considers live, itself included; "" if it can't be read.
func (r *router) memberCount() string {
	resp, err := http.Get("http://" + r.admin + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if n, ok := strings.CutPrefix(lines.Text(), "tamarindstep_members "); ok {
			return n
		}
	}
	return ""
}

// peerKey is the store's key of the peer key, which all routers share.
const peerKey = "tamarindstep/peer-key"

// allReportMembers reports whether each router considers n routers live.
func (p *platform) allReportMembers(n string) bool {
	for _, r := range p.routers {
		if r.memberCount() != n {
			return false
		}
	}
	return true
}

// announceAll makes the usual backend servers write their entries again.
func (p *platform) announceAll() {
	for _, b := range append(p.engines, p.services...) {
		b.Announce("ready")
	}
}

func TestPlatformRoutersFormOneFleetAfterStoreRestore(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, other string }{
		{"the key is missing", ""}, {"another key is stored", "ANOTHERKEYTHATAROUTERMADE"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlatform(t, 3)
			await(t, "each router counts three members", func() bool { return p.allReportMembers("3") })
			time.Sleep(2 * time.Second) // until they watch the store
			p.store.Restore(p.store.RevisionOf(peerKey) - 1)
			p.announceAll()
			if c.other != "" {
				p.store.Put(peerKey, []byte(c.other))
			}
			p.routers = append(p.routers, p.start(3))
			p.awaitReady(p.routers[3])
			await(t, "each router counts four members", func() bool { return p.allReportMembers("4") })
			await(t, "all four are listed", func() bool { return len(p.store.Keys("tamarindstep/routers/")) == 4 })
		})
	}
}

func TestPlatformEvacuationsSurviveStoreRestore(t *testing.T) {
	t.Parallel()
	t.Run("evacuated after the copy", func(t *testing.T) {
		testEvacuationAfterRestore(t, true, func(p *platform) { p.store.Evacuate(hallA, "{}") }, func(p *platform) { p.store.EndEvacuation(hallA) })
	})
	t.Run("taken back after the copy", func(t *testing.T) {
		testEvacuationAfterRestore(t, false, func(p *platform) { p.store.EndEvacuation(hallA) }, func(p *platform) { p.store.Evacuate(hallA, "{}") })
	})
}

// testEvacuationAfterRestore changes the evacuations, restores the store to a revision before the change, checks that the
// change stays in force, and undoes it.
func testEvacuationAfterRestore(t *testing.T, evacuated bool, change, undo func(*platform)) {
	p := newPlatform(t, 3)
	p.addSecondHall()
	undo(p)
	time.Sleep(2 * time.Second) // until they watch the store
	revision := p.store.Revision()
	p.addRevisions(60)
	change(p)
	isInForce := func(r *router) bool { return (p.runsInHallA(r) == 0) == evacuated }
	for _, r := range p.routers {
		await(t, "the change is in force at "+r.name, func() bool { return isInForce(r) })
	}
	p.store.Restore(revision)
	p.announceAll()
	for end := time.Now().Add(observationTime); time.Now().Before(end); {
		for _, r := range p.routers {
			if !isInForce(r) {
				t.Fatalf("%s reverts to the evacuations of the copy", r.name)
			}
		}
	}
	change(p) // as operators do after a restore
	time.Sleep(observationTime)
	for _, r := range p.routers {
		p.is.True(isInForce(r))
	}
	undo(p)
	for _, r := range p.routers {
		await(t, "a change after the restore is in force at "+r.name, func() bool { return !isInForce(r) })
	}
}
