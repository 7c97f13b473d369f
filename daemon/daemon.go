// Package daemon implements the router daemon: its settings, the assembly of its services, and its
// graceful shutdown.
package daemon

import (
	"context"
	"errors"
	"io"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

const (
	stopTimeout = 10 * time.Second
	// drainFraction is the fraction of the time for a planned stop available for finishing
	// requests. The rest is for stopping the services.
	drainFraction = 0.92
)

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
		s, err := readSettings(cmd.Flags())
		if err != nil {
			cmd.SetErr(cmd.OutOrStdout())
			return err
		}
		ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return Run(ctx, s, cmd.OutOrStdout())
	}
	return c
}

const (
	bytesPerMB = 1 << 20
	// memoryFraction is the fraction of the memory used as the runtime's soft memory limit, above
	// which it collects garbage more often.
	memoryFraction = 0.6
)

// eventLoopProcs is the minimum GOMAXPROCS with an event loop. The event loop blocks in a system call of its own: with
// one thread, runnable goroutines would wait until the runtime detects that, which took up to three seconds.
const eventLoopProcs = 4

// Main runs the daemon and returns the exit code.
func Main() int {
	catchReloads()
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
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(out).Level(level).With().Timestamp().Str("router", s.Name).Logger()
}

// Run runs a router until the context is done or an operator drains it, and then waits
// for its requests to finish. It writes the log to out.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	lines := telemetry.NewLogWriter(out)
	defer lines.Close()
	if s.EventLoop && runtime.GOMAXPROCS(0) < eventLoopProcs {
		runtime.GOMAXPROCS(eventLoopProcs)
	}
	debug.SetMemoryLimit(int64(s.MemoryMB * memoryFraction * bytesPerMB))
	log := newLog(s, lines)
	stopReloads := logReloads(log)
	defer stopReloads()
	r, err := build(ctx, s, log)
	if err != nil {
		return startError(ctx, err, log)
	}
	if err := r.kernel.Start(ctx); err != nil {
		return startError(ctx, err, log)
	}
	defer r.close()
	log.Info().Str("callers", s.CallerListen).Str("peers", s.PeerListen).Msg("router started")
	select {
	case <-ctx.Done():
		r.drain()
	case <-r.draining:
	}
	return r.stop()
}

// stop waits for the running requests to finish, and then stops the services.
func (r *router) stop() error {
	r.log.Info().Msg("draining")
	r.scheduler.Enqueue(core.Drain{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(drainFraction*float64(r.drainTimeout)))
	defer cancel()
	r.callers.Drain(ctx)
	end, cancelEnd := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelEnd()
	err := r.kernel.Stop(end)
	r.log.Info().Msg("stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
