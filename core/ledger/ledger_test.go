package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

var testAccount = model.Key{Pool: 1, Account: 2}

func newTestLedger(name string) *Ledger {
	id := uint64(len(name))
	return New(name, 0, func() uint64 { id += 1000; return id }, func(model.Key) model.Service { return 0 })
}

// newPair returns a root and its only child, attached to each other.
func newPair() (root, child *Ledger, order []Peer) {
	root, child = newTestLedger("root"), newTestLedger("child")
	order = []Peer{{Name: "root", Boot: 1}, {Name: "child", Boot: 2}}
	root.SetTree(0, order)
	child.SetTree(0, order)
	return root, child, order
}

// exchange delivers the messages that are due at both routers over a period.
func exchange(root, child *Ledger, from, to model.Time) {
	for now := from; now < to; now += 10 * time.Millisecond {
		for _, s := range child.Tick(now) {
			for _, back := range root.ReceiveUp(now, "child", s.Up) {
				child.ReceiveDown(now, "root", back.Down)
			}
		}
		for _, s := range root.Tick(now) {
			child.ReceiveDown(now, "root", s.Down)
		}
	}
}

func TestServiceReachesRootAndChildren(t *testing.T) {
	is := is.New(t)
	root, child, _ := newPair()
	child.AddService(0, testAccount, 100)
	root.AddService(0, testAccount, 7)
	exchange(root, child, 0, 2*time.Second)
	is.Equal(root.Virtual(testAccount), model.Service(107))
	is.Equal(child.Virtual(testAccount), model.Service(107))
	is.Equal(child.LocalService(testAccount), model.Service(100))
}

// TestReattachedChildIsCountedOnce checks that a child's service is counted once when its parent drops it and accepts
// it again, which the child doesn't notice.
func TestReattachedChildIsCountedOnce(t *testing.T) {
	is := is.New(t)
	root, child, order := newPair()
	child.AddService(0, testAccount, 100)
	exchange(root, child, 0, 2*time.Second)
	root.SetTree(2*time.Second, order[:1])
	root.SetTree(2*time.Second, order)
	child.AddService(2*time.Second, testAccount, 1)
	exchange(root, child, 2*time.Second, 4*time.Second)
	is.Equal(root.Virtual(testAccount), model.Service(101))
}

// TestRestartedRootAdoptsView checks that a root that has restarted without state continues its child's view.
func TestRestartedRootAdoptsView(t *testing.T) {
	is := is.New(t)
	root, child, order := newPair()
	child.AddService(0, testAccount, 100)
	exchange(root, child, 0, 2*time.Second)
	restarted := newTestLedger("root")
	order[0].Boot = 3
	restarted.SetTree(2*time.Second, order)
	child.SetTree(2*time.Second, order)
	exchange(restarted, child, 2*time.Second, 5*time.Second)
	is.Equal(restarted.Virtual(testAccount), model.Service(100))
}

// TestLift checks that an account that returns from idle is lifted to the least service of the others.
func TestLift(t *testing.T) {
	is := is.New(t)
	l := newTestLedger("alone")
	other := model.Key{Pool: 1, Account: 3}
	l.SetBacklog(0, other, true, 0)
	l.AddService(0, other, 5000)
	l.Tick(0)
	l.SetBacklog(0, testAccount, true, 0)
	is.Equal(l.Virtual(testAccount), model.Service(5000))
}
