package core

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/policy/promptaffinity"
	"github.com/tamarindstep/tamarindstep/wire"
)

// BenchmarkStreamRecords measures what the records of streams add to a router's traffic, with one and with two software
// versions, by the streams a second of each router.
func BenchmarkStreamRecords(_ *testing.B) {
	fmt.Printf("%9s %9s %8s | %9s %9s\n", "routers", "streams/s", "versions", "B/s", "msg/s")
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		for _, row := range []struct{ routers, perSecond int }{{20, 10}, {20, 25}, {20, 102}, {smallFleet + 10, 10}, {smallFleet + 10, 102}} {
			bytes, messages := measureStreamRecords(row.routers, row.perSecond, versions)
			fmt.Printf("%9d %9d %8d | %9.0f %9.1f\n", row.routers, row.perSecond, len(versions), bytes, messages)
		}
	}
}

// measureStreamRecords returns the bytes and messages a second of a router that are due to records of streams.
func measureStreamRecords(routers, perSecond int, versions []string) (bytes, messages float64) {
	const seconds = 2
	f := newStreamFleet(promptaffinity.Policy, routers, versions...)
	f.modify = func(d *wire.Datagram) *wire.Datagram {
		if d.Began != nil {
			messages++
			without := proto.Clone(d).(*wire.Datagram)
			without.Began = nil
			bytes += float64(proto.Size(d) - proto.Size(without))
			if d.Loads == nil && d.Probe == nil {
				bytes += float64(proto.Size(without) + wireOverhead)
			}
		}
		return d
	}
	begin := f.time.Now()
	every := time.Second / time.Duration(routers*perSecond)
	for i := range seconds * routers * perSecond {
		f.runUntil(begin + time.Duration(i)*every)
		f.submit(f.routers[i%routers], 0)
	}
	return bytes / float64(routers*seconds), messages / float64(routers*seconds)
}
