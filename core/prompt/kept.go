package prompt

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// keptFor is how long a part is taken to be kept after it was last used, as far
// as known: by then other parts have taken its place.
const keptFor = 15 * time.Second

// maxKept is how many parts are remembered of one backend server.
const maxKept = 4096

// kept remembers which parts of prompts a backend server was last sent, and
// when.
type kept struct{ used map[uint32]model.Time }

func newKept() kept { return kept{used: map[uint32]model.Time{}} }

// partKey is how routers name a part to each other.
func partKey(id uint64) uint32 { return uint32(id) ^ uint32(id>>32) }

// touch notes that a part was used.
func (k kept) touch(now model.Time, part uint32) {
	if len(k.used) >= maxKept {
		k.forget(now)
	}
	k.used[part] = max(k.used[part], now)
}

// forget drops what is too old, and all if that isn't enough.
func (k kept) forget(now model.Time) {
	for part, used := range k.used {
		if now > used+keptFor {
			delete(k.used, part)
		}
	}
	if len(k.used) >= maxKept {
		clear(k.used)
	}
}

func (k kept) has(now model.Time, part uint32) bool {
	used, ok := k.used[part]
	return ok && now <= used+keptFor
}

// unread returns how many tokens of a prompt are to be read.
func (k kept) unread(now model.Time, p *model.Prompt) float64 {
	unread := p.Tokens
	for _, part := range p.Parts {
		if !k.has(now, partKey(part.ID)) {
			break
		}
		unread -= part.Tokens
	}
	return float64(max(unread, 0))
}

// sharedKey returns a key for the parts of a prompt that others may share.
func sharedKey(p *model.Prompt) (uint64, bool) {
	if len(p.Parts) < 2 {
		return 0, false
	}
	return p.Parts[len(p.Parts)-2].ID, true
}
