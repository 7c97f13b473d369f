package generation

import "github.com/tamarindstep/tamarindstep/config"

// maxSharedLogged is the number of names of each kind in the log line on names that share a hash.
const maxSharedLogged = 8

// reportSharedHashes counts the names that share a hash with another of their kind, and logs them if they have changed. The
// caller holds the lock.
func (s *Service) reportSharedHashes(shared config.SharedHashes) {
	s.metrics.SharedHashes.Set(float64(shared.Count()))
	if shared.Equal(s.shared) {
		return
	}
	s.shared = shared
	s.log.Warn().Strs("accounts", firstNames(shared.Accounts)).Strs("pools", firstNames(shared.Pools)).
		Strs("backends", firstNames(shared.Backends)).Int("names", shared.Count()).
		Msg("names that share a hash are identified by another one")
}

// firstNames returns the names that are logged.
func firstNames(names []string) []string { return names[:min(len(names), maxSharedLogged)] }
