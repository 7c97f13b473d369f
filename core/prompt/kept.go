package prompt

import (
	"github.com/tamarindstep/tamarindstep/model"
)

// maxKept is how many parts are remembered of one backend server.
const maxKept = 4096

// kept remembers which parts of prompts a backend server was sent, and how much
// it had been sent to read by then: what it reads takes the place of what was
// used the longest ago.
type kept struct {
	used map[uint32]float64
	told map[uint32]float64 // the same, when the other routers were last told
}

func newKept() kept { return kept{used: map[uint32]float64{}, told: map[uint32]float64{}} }

// partKey is how routers name a part to each other.
func partKey(id uint64) uint32 { return uint32(id) ^ uint32(id>>32) }

// touch notes that a part was used when so many tokens had been sent to be read.
func (k kept) touch(sent float64, part uint32, room float64) {
	if len(k.used) >= maxKept {
		k.forget(sent, room)
	}
	k.used[part] = max(k.used[part], sent)
}

// forget drops what has given way, and all if that isn't enough.
func (k kept) forget(sent, room float64) {
	for part, used := range k.used {
		if sent > used+room {
			delete(k.used, part)
			delete(k.told, part)
		}
	}
	if len(k.used) >= maxKept {
		clear(k.used)
		clear(k.told)
	}
}

// toldFor is the part of the room that may be read until the other routers are told
// once more of a part that is still used.
const toldFor = 0.25

// tell tells whether the other routers are to be told that a part was used, and takes
// them as told then.
func (k kept) tell(sent float64, part uint32, room float64) bool {
	at, known := k.told[part]
	if known && sent <= at+toldFor*room {
		return false
	}
	k.told[part] = sent
	return true
}

func (k kept) has(sent float64, part uint32, room float64) bool {
	used, ok := k.used[part]
	return ok && sent <= used+room
}

// unread returns how many tokens of a prompt are to be read at a backend server:
// a part is found only where all parts before it are.
func (s *server) unread(p *model.Prompt) float64 {
	unread := p.Tokens
	for _, part := range p.Parts {
		if !s.kept.has(s.sent, partKey(part.ID), s.room) {
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
