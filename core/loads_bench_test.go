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

// BenchmarkLoadReports measures the cost of exchanging load reports and account amounts, and the age of a load report
// on arrival, by the number of routers, the requests a second of each router, and the byte rate allowed.
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

// reportCosts holds the costs of a run: bytes and messages a second of a router, and the mean time since the last
// contact with the other routers, in milliseconds.
type reportCosts struct{ mean, most, messages, age, p99 float64 }

func measureLoadReports(routers, perSecond int, allowed float64) reportCosts {
	const seconds = 5
	f := loadedFleet(routers, allowed)
	bytes := map[string]float64{}
	messages := 0.0
	f.modify = func(d *wire.Datagram) *wire.Datagram {
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
		n := f.routers[i%routers]
		f.submitPrompt(n, model.Account(names[i%len(names)]), 1000, 20)
		age += n.core.prompt.MeanContactAge().Seconds() * 1000
		samples++
	}
	out := reportCosts{messages: messages / seconds / float64(routers), age: age / samples}
	for _, v := range bytes {
		out.mean += v / seconds / float64(routers)
		out.most = max(out.most, v/seconds)
	}
	return out
}

// BenchmarkControl measures all traffic between routers, by the number of routers, the requests a second of each router
// and the byte rate allowed for load messages, and the age of the oldest of the last reports received.
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
			row.routers, row.perSecond, row.allowed, w.mean, w.most, w.messages, w.age, w.p99)
	}
}

func measureControl(routers, perSecond int, allowed float64) reportCosts {
	const seconds, samples = 3, 60
	f := loadedFleet(routers, allowed)
	before, sent := map[string]int64{}, int64(0)
	for _, n := range f.routers {
		before[n.name] = n.bytes
		sent -= n.sent
	}
	begin := f.time.Now()
	names := accountNames(10)
	var ages []time.Duration
	submitted := 0
	for sample := range samples {
		for ; submitted < (sample+1)*seconds*routers*perSecond/samples; submitted++ {
			f.submitPrompt(f.routers[submitted%routers], model.Account(names[submitted%len(names)]), 1000, 20)
		}
		f.runUntil(begin + time.Duration(sample+1)*seconds*time.Second/samples)
		ages = append(ages, f.oldestReports()...)
	}
	slices.Sort(ages)
	out := reportCosts{age: ages[len(ages)/2].Seconds() * 1000, p99: ages[len(ages)*99/100].Seconds() * 1000}
	for _, n := range f.routers {
		sent += n.sent
		bytes := float64(n.bytes-before[n.name]) / seconds
		out.mean += bytes / float64(routers)
		out.most = max(out.most, bytes)
	}
	out.messages = float64(sent) / seconds / float64(routers)
	return out
}
