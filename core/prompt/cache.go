package prompt

import (
	"github.com/tamarindstep/tamarindstep/model"
)

// maxCachedParts is the largest number of parts recorded for one backend server.
const maxCachedParts = 4096

// prefixCache models the prefix cache of a backend server: for each part of a prompt sent there, it records the total
// of tokens sent for prefill at the last use. Prefilled tokens evict the parts that were least recently used.
type prefixCache struct {
	lastUsed     map[uint32]float64
	lastReported map[uint32]float64 // the same total when the part was last reported to the other routers
}

func newPrefixCache() prefixCache {
	return prefixCache{lastUsed: map[uint32]float64{}, lastReported: map[uint32]float64{}}
}

// partKey returns the key by which routers identify a part to each other.
func partKey(id uint64) uint32 { return uint32(id) ^ uint32(id>>32) }

// touch records the use of a part at the given total of tokens sent.
func (k prefixCache) touch(sent float64, part uint32, cacheTokens float64) {
	if len(k.lastUsed) >= maxCachedParts {
		k.evict(sent, cacheTokens)
	}
	k.lastUsed[part] = max(k.lastUsed[part], sent)
}

// evict removes the parts that the backend server must have evicted, and all parts if there are still too many.
func (k prefixCache) evict(sent, cacheTokens float64) {
	for part, used := range k.lastUsed {
		if sent > used+cacheTokens {
			delete(k.lastUsed, part)
			delete(k.lastReported, part)
		}
	}
	if len(k.lastUsed) >= maxCachedParts {
		clear(k.lastUsed)
		clear(k.lastReported)
	}
}

// reportedFraction is the fraction of cacheTokens that may be prefilled until a part that is still used is reported
// again.
const reportedFraction = 0.25

// takeUnreported reports whether the use of a part is to be reported to the other routers, and marks it as reported
// if so.
func (k prefixCache) takeUnreported(sent float64, part uint32, cacheTokens float64) bool {
	at, reported := k.lastReported[part]
	if reported && sent <= at+reportedFraction*cacheTokens {
		return false
	}
	k.lastReported[part] = sent
	return true
}

func (k prefixCache) has(sent float64, part uint32, cacheTokens float64) bool {
	used, ok := k.lastUsed[part]
	return ok && sent <= used+cacheTokens
}

// uncachedTokens returns how many tokens of a prompt a backend server has to prefill. A part counts as cached only if
// all parts before it are.
func (s *server) uncachedTokens(p *model.Prompt) float64 {
	uncached := p.Tokens
	for _, part := range p.Parts {
		if !s.cache.has(s.sentTokens, partKey(part.ID), s.cacheTokens) {
			break
		}
		uncached -= part.Tokens
	}
	return float64(max(uncached, 0))
}

// sharedKey returns a key for the parts of a prompt that other prompts may share.
func sharedKey(p *model.Prompt) (uint64, bool) {
	if len(p.Parts) < 2 {
		return 0, false
	}
	return p.Parts[len(p.Parts)-2].ID, true
}
