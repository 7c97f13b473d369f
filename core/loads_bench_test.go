package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// BenchmarkLoadReports measures what routers spend on telling each other their loads and their
// accounts' amounts, and how old a load report is when it comes, by the size of the fleet, the
// requests a second of each router, and the bytes that it may spend.
func BenchmarkLoadReports(_ *testing.B) {
	fmt.Printf("%9s %6s %9s | %9s %9s %8s %9s\n", "routers", "req/s", "allowed", "B/s", "B/s max", "msg/s", "age ms")
	for _, row := range []struct {
		routers, perSecond int
		allowed            float64
	}{
		{9, 20, 100_000}, {18, 20, 100_000}, {40, 20, 100_000}, {59, 20, 100_000}, {85, 20, 100_000}, {160, 20, 100_000},
		{59, 5, 100_000}, {59, 50, 100_000}, {59, 20, 1_000_000}, {59, 20, 9_000}, {85, 20, 9_000},
	} {
		w := measureLoadReports(row.routers, row.perSecond, row.allowed)
		fmt.Printf("%9d %6d %9.0f | %9.0f %9.0f %8.1f %9.0f\n",
			row.routers, row.perSecond, row.allowed, w.mean, w.most, w.messages, w.age)
	}
}

// reportCosts is what a run of telling has cost: bytes and messages a second of a router, and
// the mean age of what a router knows of another, in milliseconds.
type reportCosts struct{ mean, most, messages, age, late float64 }

func measureLoadReports(routers, perSecond int, allowed float64) reportCosts {
	const seconds = 5
	f := loadedFleet(routers, allowed)
	bytes := map[string]float64{}
	messages := 0.0
	f.tamper = func(d *wire.Datagram) *wire.Datagram {
		if len(d.Loads) == 0 {
			return d
		}
		messages++
		bytes[d.From] += datagramOverhead
		for _, l := range d.Loads {
			bytes[d.From] += float64(proto.Size(l))
		}
		return d
	}
	begin := f.time.Now()
	every := time.Second / time.Duration(routers*perSecond)
	age, samples := 0.0, 0.0
	names := accountNames(10)
	for i := range seconds * routers * perSecond {
		f.runUntil(begin + time.Duration(i)*every)
		n := f.nodes[i%routers]
		f.submitPrompt(n, model.Account(names[i%len(names)]), 1000, 20)
		age += n.core.prompt.MeanAge().Seconds() * 1000
		samples++
	}
	out := reportCosts{messages: messages / seconds / float64(routers), age: age / samples}
	for _, v := range bytes {
		out.mean += v / seconds / float64(routers)
		out.most = max(out.most, v/seconds)
	}
	return out
}

// BenchmarkControl measures all that routers send each other, by the size of the fleet, the requests a
// second of each router and the bytes allowed for loads, and how old the oldest knowledge of
// another router is.
func BenchmarkControl(_ *testing.B) {
	fmt.Printf("%9s %6s %9s | %9s %9s %8s %9s %9s\n", "routers", "req/s", "allowed", "B/s", "B/s max", "msg/s", "oldest ms", "99 in 100")
	for _, row := range []struct {
		routers, perSecond int
		allowed            float64
	}{
		{9, 0, 100_000}, {82, 0, 100_000}, {82, 5, 100_000}, {82, 20, 100_000}, {82, 0, 9_000}, {520, 0, 9_000}, {520, 5, 9_000},
	} {
		w := measureControl(row.routers, row.perSecond, row.allowed)
		fmt.Printf("%9d %6d %9.0f | %9.0f %9.0f %8.1f %9.0f %9.0f\n",
			row.routers, row.perSecond, row.allowed, w.mean, w.most, w.messages, w.age, w.late)
	}
}

func measureControl(routers, perSecond int, allowed float64) reportCosts {
	const seconds, looks = 3, 60
	f := loadedFleet(routers, allowed)
	before, sent := map[string]int64{}, int64(0)
	for _, n := range f.nodes {
		before[n.name] = n.bytes
		sent -= n.sent
	}
	begin := f.time.Now()
	names := accountNames(10)
	var ages []time.Duration
	asked := 0
	for look := range looks {
		for ; asked < (look+1)*seconds*routers*perSecond/looks; asked++ {
			f.submitPrompt(f.nodes[asked%routers], model.Account(names[asked%len(names)]), 1000, 20)
		}
		f.runUntil(begin + time.Duration(look+1)*seconds*time.Second/looks)
		ages = append(ages, f.oldest()...)
	}
	slices.Sort(ages)
	out := reportCosts{age: ages[len(ages)/2].Seconds() * 1000, late: ages[len(ages)*99/100].Seconds() * 1000}
	for _, n := range f.nodes {
		sent += n.sent
		bytes := float64(n.bytes-before[n.name]) / seconds
		out.mean += bytes / float64(routers)
		out.most = max(out.most, bytes)
	}
	out.messages = float64(sent) / seconds / float64(routers)
	return out
}
