package daemon

import (
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/generation"
	"github.com/tamarindstep/tamarindstep/peerkey"
	"github.com/tamarindstep/tamarindstep/platform"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// eras tells what concerns it that the store has come back from a copy.
type eras struct {
	log     zerolog.Logger
	metrics *telemetry.Platform
	keeper  *peerkey.Service
	gens    *generation.Service
}

// EraBegan implements platform.EraNotes.
func (e *eras) EraBegan(era uint32) {
	e.log.Warn().Uint32("era", era).Msg("the store has come back from a copy")
	e.metrics.Era.Set(float64(era))
	e.keeper.EraBegan(era)
	e.gens.StoreReturned()
}

// EraRefused implements platform.EraNotes.
func (e *eras) EraRefused(err error) {
	e.metrics.EraRefused.Inc()
	e.log.Warn().Err(err).Msg("an answer of the store was refused for its era")
}

var _ platform.EraNotes = (*eras)(nil)
