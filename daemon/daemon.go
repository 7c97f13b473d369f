// Package daemon is the router daemon: its settings, its services, and its
// orderly end.
package daemon

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/tamarindstep/tamarindstep/admin"
	"github.com/tamarindstep/tamarindstep/back"
	"github.com/tamarindstep/tamarindstep/claim"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/fleet"
	"github.com/tamarindstep/tamarindstep/front"
	"github.com/tamarindstep/tamarindstep/generation"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/peer"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/settings"
	"github.com/tamarindstep/tamarindstep/status"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/vmlist"
)

const (
	// drainTimeout is how long a stopping router waits for its requests.
	drainTimeout = 15 * time.Minute
	// handoverPause is how long a router stays after its last request, so that
	// the others have heard that it is leaving.
	handoverPause = 300 * time.Millisecond
	stopTimeout   = 10 * time.Second
)

// Settings are the router's settings, checked.
type Settings struct {
	Name          string
	DataHall      string
	CallerListen  string
	AdminListen   string
	PeerListen    string
	Store         string
	VMList        string
	OperatorToken string
	PeerKey       string
	LogLevel      string
	LogFormat     string
	TraceEndpoint string
}

func addFlags(f *pflag.FlagSet) {
	f.String("name", "", "the router's name, as the VM list has it")
	f.String("data-hall", "", "the data hall that the router is in")
	f.String("caller-listen", "", "IP and port for callers")
	f.String("admin-listen", "", "IP and port for operators, health and counters")
	f.String("peer-listen", "", "IP and port for the other routers, UDP and TCP; as the VM list has it")
	f.String("store", "", "IP and port of the platform's key-value service")
	f.String("vm-list", "", "IP and port of the platform's VM list")
	f.String("operator-token-file", "", "file with the operators' token")
	f.String("peer-key-file", "", "file with the key that all routers share")
	f.String("log-level", "info", "debug, info, warn or error")
	f.String("log-format", "json", "json or console")
	f.String("trace-endpoint", "", "URL that takes OTLP traces over HTTP; none are sent without")
}

// read reads and checks all settings; the error holds every finding.
func read(f *pflag.FlagSet) (Settings, error) {
	r, err := settings.NewReader(f)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Name:          r.Name("name"),
		DataHall:      r.Name("data-hall"),
		CallerListen:  r.Address("caller-listen"),
		AdminListen:   r.Address("admin-listen"),
		PeerListen:    r.Address("peer-listen"),
		Store:         r.Address("store"),
		VMList:        r.Address("vm-list"),
		OperatorToken: r.Secret("operator-token-file"),
		PeerKey:       r.Secret("peer-key-file"),
		LogLevel:      r.Word("log-level", "debug", "info", "warn", "error"),
		LogFormat:     r.Word("log-format", "json", "console"),
		TraceEndpoint: r.Text("trace-endpoint"),
	}
	return s, r.Err()
}

// NewCommand returns the daemon's command.
func NewCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "tamarindstepd",
		Short: "Route requests of client accounts to backend servers, each account its fair portion",
		Long: "tamarindstepd is one router of a fleet. Every setting is a flag and an environment\n" +
			"variable: --caller-listen is TAMARINDSTEP_CALLER_LISTEN.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	addFlags(c.Flags())
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		s, err := read(cmd.Flags())
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return Run(ctx, s, cmd.ErrOrStderr())
	}
	return c
}

// Main runs the daemon and returns the exit code.
func Main() int {
	if err := NewCommand().ExecuteContext(context.Background()); err != nil {
		return 1
	}
	return 0
}

func newLog(s Settings, out io.Writer) zerolog.Logger {
	if s.LogFormat == "console" {
		out = zerolog.ConsoleWriter{Out: out, TimeFormat: time.TimeOnly, NoColor: true}
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(out).Level(level).With().Timestamp().Str("router", s.Name).Logger()
}

// router is a running router.
type router struct {
	log       zerolog.Logger
	kernel    *kernel.Kernel
	front     *front.Service
	scheduler *scheduler.Service
	once      sync.Once
	draining  chan struct{}
}

// drain begins the router's orderly end.
func (r *router) drain() { r.once.Do(func() { close(r.draining) }) }

func (r *router) isDraining() bool {
	select {
	case <-r.draining:
		return true
	default:
		return false
	}
}

func build(s Settings, log zerolog.Logger) (*router, error) {
	r := &router{log: log, draining: make(chan struct{})}
	metrics := telemetry.NewMetrics()
	kept := store.NewEtcd(s.Store)
	self := member.Member{Name: s.Name, Address: s.PeerListen, DataHall: s.DataHall, Boot: rand.Uint64() | 1}
	r.front = front.New(s.CallerListen, log, metrics)
	r.scheduler = scheduler.New(self, log, metrics)
	gens := generation.New(kept, log, metrics.Platform)
	var err error
	r.kernel, err = kernel.New(
		telemetry.NewTraces(s.Name, s.TraceEndpoint),
		peer.New(peer.Settings{Name: s.Name, Boot: self.Boot, Listen: s.PeerListen, Key: []byte(s.PeerKey)}, metrics.Peer),
		r.scheduler,
		fleet.New(s.Name, vmlist.NewHTTP(s.VMList), log),
		fleet.NewLoads(gens.InForce),
		gens,
		claim.New(kept, metrics.Platform),
		back.New(),
		status.New(s.Name, r.drain),
		admin.New(s.AdminListen, s.OperatorToken, metrics.Registry, r.isDraining),
		r.front,
	)
	return r, err
}

// Run runs a router until the context ends or an operator drains it, and then
// until its requests are done.
func Run(ctx context.Context, s Settings, logTo io.Writer) error {
	log := newLog(s, logTo)
	r, err := build(s, log)
	if err != nil {
		return err
	}
	if err := r.kernel.Start(ctx); err != nil {
		return err
	}
	log.Info().Str("callers", s.CallerListen).Str("peers", s.PeerListen).Msg("router started")
	select {
	case <-ctx.Done():
		r.drain()
	case <-r.draining:
	}
	return r.stop()
}

// stop lets the requests that are here finish, and then the services.
func (r *router) stop() error {
	r.log.Info().Msg("draining")
	r.scheduler.Tell(core.Drain{})
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	r.front.Drain(ctx)
	time.Sleep(handoverPause)
	r.front.Drain(ctx)
	end, cancelEnd := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelEnd()
	err := r.kernel.Stop(end)
	r.log.Info().Msg("stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
