package daemon

import (
	"runtime"
	"strconv"
	"time"

	"github.com/spf13/pflag"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/settings"
)

// The values of the setting interface.
const (
	interfaceOwn      = "own"
	interfacePlatform = "platform"
)

// The values of the setting profiles.
const (
	profilesOn  = "on"
	profilesOff = "off"
)

// The values of the setting prompt-homes.
const (
	homesFleet = "fleet"
	homesHall  = "hall"
)

// The values of the setting peer-receiver.
const (
	receiverAuto      = "auto"
	receiverEventLoop = "event-loop"
	receiverRuntime   = "runtime"
)

// Settings are the router's validated settings.
type Settings struct {
	Interface     string
	Name          string
	DataHall      string
	CallerListen  string
	AdminListen   string
	PeerListen    string
	EventLoop     bool // an event loop receives the other routers' datagrams
	Store         string
	StoreWrites   float64 // maximum writes per second, over the fleet
	VMList        string  // own interface only
	OperatorToken string  // own interface only
	PeerKey       string  // own interface only
	Policy        string  // platform's interface only
	Drain         time.Duration
	CallerStall   time.Duration // maximum time without progress in writing an answer
	RetryRatio    float64
	RetrySlack    float64
	ColdOvershoot float64
	ColdSlack     float64
	HallHomes     bool    // prompts with common parts have a preferred backend server in each data hall
	LoadsBytes    float64 // bytes per second sent to each router about the others' requests
	MemoryMB      float64
	Files         float64 // maximum number of open file descriptors
	Processor     float64 // fraction of a core
	Profiles      bool
	LogLevel      string
	LogFormat     string
	TraceEndpoint string
}

func addFlags(f *pflag.FlagSet) {
	f.String("interface", interfaceOwn, "own: the product's own interfaces; platform: those of the users' platform")
	f.String("name", "", "the router's name, as the VM list has it")
	f.String("data-hall", "", "the data hall that the router is in")
	f.String("caller-listen", "", "IP and port for callers")
	f.String("admin-listen", "", "IP and port for operators, health and counters")
	f.String("peer-listen", "", "IP and port for the other routers, UDP and TCP; as the VM list has it")
	f.String("peer-receiver", receiverAuto, "how the other routers' datagrams are received: by gnet's event-loop, by the "+
		"Go runtime, or auto: by the event loop where there are several processors")
	f.String("store", "", "IP and port of the platform's key-value service")
	f.String("store-writes", "100", "writes a second that the key-value service takes from the whole fleet; claims take half")
	f.String("vm-list", "", "IP and port of the platform's VM list; own interface only")
	f.String("operator-token-file", "", "file with the operators' token; own interface only")
	f.String("peer-key-file", "", "file with the key that all routers share; own interface only")
	f.String("policy", "prompt-affinity", "routing policy; platform's interface only")
	f.String("drain-seconds", "900", "how long a stopping router waits for its requests, in seconds")
	f.String("caller-stall-seconds", "10", "how long a caller may take nothing of its answer until its connection is broken off, in seconds")
	f.String("retry-ratio", "0.2", "second sends for each request, over the fleet")
	f.String("retry-slack", "50", "second sends beyond that in ten seconds, over the fleet")
	f.String("cold-overshoot", "1", "how many times its cold-rate a backend server may get that is slow from its start, over the fleet")
	f.String("cold-slack", "0", "requests a second beyond that, over the fleet")
	f.String("prompt-homes", homesFleet, "where prompts that share parts go first: hall: to a backend server of each data hall, "+
		"so that few requests leave theirs; fleet: to one of all, so that each part is read once")
	f.String("loads-bytes", strconv.Itoa(core.DefaultLoadsBytes), "bytes a second that each router is told of the "+
		"others' requests; what is told gets older where there are fewer")
	f.String("memory-mb", "512", "memory that the process may use, in MB; it takes fewer requests at once where there is less")
	f.String("files", "1024", "descriptors that the process may have open; fewer callers' connections are kept where there are fewer")
	f.String("processor", "1", "part of a core that the process may use; the routers with the most pass on what the others tell")
	f.String("profiles", profilesOff, "on: profiles of the process are served below /debug/pprof/ of the admin listener; off: they aren't")
	f.String("log-level", "info", "debug, info, warn or error")
	f.String("log-format", "json", "json or console")
	f.String("trace-endpoint", "", "URL that takes OTLP traces over HTTP; none are sent without")
}

// readSettings reads and checks all settings. The error is a finding.List with all findings.
func readSettings(f *pflag.FlagSet) (Settings, error) {
	r, err := settings.NewReader(f)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Interface:     r.Choice("interface", interfaceOwn, interfacePlatform),
		Name:          r.Name("name"),
		DataHall:      r.Name("data-hall"),
		CallerListen:  r.Address("caller-listen"),
		AdminListen:   r.Address("admin-listen"),
		PeerListen:    r.Address("peer-listen"),
		Store:         r.Address("store"),
		StoreWrites:   r.Number("store-writes", 1),
		Policy:        r.Choice("policy", policyNames()...),
		Drain:         time.Duration(r.Number("drain-seconds", 1) * float64(time.Second)),
		CallerStall:   time.Duration(r.Number("caller-stall-seconds", 0.1) * float64(time.Second)),
		RetryRatio:    r.Number("retry-ratio", 0),
		RetrySlack:    r.Number("retry-slack", 0),
		ColdOvershoot: r.Number("cold-overshoot", 0),
		ColdSlack:     r.Number("cold-slack", 0),
		HallHomes:     r.Choice("prompt-homes", homesFleet, homesHall) == homesHall,
		LoadsBytes:    r.Number("loads-bytes", 1000),
		MemoryMB:      r.Number("memory-mb", 32),
		Files:         r.Number("files", 512),
		Processor:     r.Number("processor", 0.01),
		Profiles:      r.Choice("profiles", profilesOff, profilesOn) == profilesOn,
		LogLevel:      r.Choice("log-level", "debug", "info", "warn", "error"),
		LogFormat:     r.Choice("log-format", "json", "console"),
		TraceEndpoint: r.Text("trace-endpoint"),
	}
	receiver := r.Choice("peer-receiver", receiverAuto, receiverEventLoop, receiverRuntime)
	s.EventLoop = receiver == receiverEventLoop || receiver == receiverAuto && runtime.NumCPU() > 1
	if s.Interface == interfaceOwn {
		s.VMList = r.Address("vm-list")
		s.OperatorToken = r.Secret("operator-token-file")
		s.PeerKey = r.Secret("peer-key-file")
	}
	return s, r.Err()
}
