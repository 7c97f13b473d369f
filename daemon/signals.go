package daemon

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	_ "github.com/tamarindstep/tamarindstep/internal/hangup" // before Main catches it
)

// What each signal does in each phase of a router:
//
//	phase                            | SIGHUP  | SIGTERM, SIGINT              | SIGTERM again | SIGSTOP, SIGCONT
//	---------------------------------|---------|------------------------------|---------------|-----------------
//	before Main                      | nothing | ends the process             | -             | goes on
//	waits for the store, or joins    | logged  | exit code 0, nothing to stop | nothing       | goes on
//	serves                           | logged  | planned stop, exit code 0    | nothing       | goes on
//	planned stop                     | logged  | nothing                      | nothing       | goes on
//	leaves the list of routers       | nothing | nothing                      | nothing       | goes on

// catchReloads catches SIGHUP for as long as the process runs. Its default action would end the process while it starts,
// which may take as long as an outage of the store, and while it stops.
func catchReloads() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// logReloads logs each SIGHUP, which is otherwise ignored, until stop is called. Settings are flags and environment
// variables, which can't change while the process runs. Everything that can change is in the configuration, whose changes
// are applied continuously.
func logReloads(log zerolog.Logger) (stop func()) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			log.Info().Msg("reload requested: settings can't change while the process runs, configuration changes are applied continuously")
		}
	}()
	return func() {
		signal.Stop(reloads)
		close(reloads)
	}
}

// startError returns the error of a router that didn't start, nil if it was told to stop meanwhile.
func startError(ctx context.Context, err error, log zerolog.Logger) error {
	if ctx.Err() == nil || !errors.Is(err, ctx.Err()) {
		return err
	}
	log.Info().Msg("stopped before it had started")
	return nil
}
