package core

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// FuzzReceive passes a core arbitrary datagrams, as a peer with a valid key but faulty contents may send them.
func FuzzReceive(f *testing.F) {
	pool := uint32(model.Pool(assistant))
	seeds := []*wire.Datagram{
		{Probe: &wire.Probe{Kind: wire.ProbeKind_PROBE_REQUEST, Target: "router-2"}},
		{Report: &wire.Report{Sequence: 1, HoldsOnly: true, Demands: []*wire.Demand{{Pool: pool, Account: 1, Batch: 1 << 31}}}},
		{Grants: []*wire.Grant{{Sequence: 1 << 60, Backend: uint32(model.Backend("runner-1"))}}},
		{Up: &wire.Up{Attachment: 1, Sequence: 1, Columns: []*wire.Column{{Pool: pool, Accounts: []uint32{1}, Given: []int64{-1 << 62}, State: []uint32{7}}}}},
		{Down: &wire.Down{Root: "router-2", Term: 1 << 63, Sequence: 1}},
		{Rumours: []*wire.Rumour{{Name: "router-1", Incarnation: 1<<64 - 1, Status: 3}, {Name: "", Status: 9}}},
	}
	for _, d := range seeds {
		b, _ := proto.Marshal(d)
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		d := &wire.Datagram{}
		if proto.Unmarshal(b, d) != nil {
			return
		}
		fl := newFleet(1, smallConfig(), []string{"a", "b"})
		n := fl.routers[0]
		fl.submit(n, model.Account("account-01"), model.Pool(assistant), model.Batch, 1, 10, time.Hour)
		d.From, d.To = "router-2", n.name
		fl.step(n, Receive{Datagram: d})
		fl.runUntil(2 * time.Second)
	})
}
