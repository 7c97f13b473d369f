package streams

import (
	"github.com/tamarindstep/tamarindstep/model"
)

// log holds the records of the streams of one pool that this router has begun, oldest first.
type log struct {
	entries []logEntry
	first   uint64 // position of the first entry
}

type logEntry struct {
	record Record
	at     model.Time
}

func (l *log) add(e logEntry) { l.entries = append(l.entries, e) }

// end returns the position after the last entry.
func (l *log) end() uint64 { return l.first + uint64(len(l.entries)) }

func (l *log) expire(now model.Time) {
	n := 0
	for n < len(l.entries) && now > l.entries[n].at+Retention {
		n++
	}
	l.entries = l.entries[n:]
	l.first += uint64(n)
}

// after returns up to limit entries from a position on, and the position after them.
func (l *log) after(position uint64, limit int) ([]logEntry, uint64) {
	from := max(position, l.first)
	to := min(from+uint64(max(limit, 0)), l.end())
	return l.entries[from-l.first : to-l.first], to
}
