package daemon

import (
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/generation"
	"github.com/tamarindstep/tamarindstep/peerkey"
	"github.com/tamarindstep/tamarindstep/platform"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// eraListener notifies other services when the store has been restored from a backup.
type eraListener struct {
	log         zerolog.Logger
	metrics     *telemetry.Platform
	keys        *peerkey.Service
	generations *generation.Service
}

// EraBegan implements platform.EraObserver.
func (e *eraListener) EraBegan(era uint32) {
	e.log.Warn().Uint32("era", era).Msg("store restored from a backup")
	e.metrics.Era.Set(float64(era))
	e.keys.EraBegan()
	e.generations.StoreRestored()
}

// EraRefused implements platform.EraObserver.
func (e *eraListener) EraRefused(err error) {
	e.metrics.EraRefused.Inc()
	e.log.Warn().Err(err).Msg("an answer of the store was refused for its era")
}

var _ platform.EraObserver = (*eraListener)(nil)
