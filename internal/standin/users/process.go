package users

import (
	"encoding/json"
	"io"
	"sync"
)

// ProcessLine is a line that a backend server which is a process of its own writes: the first one with its entry, and one
// for each run.
type ProcessLine struct {
	Entry json.RawMessage `json:"entry,omitempty"` // to be written to the store
	Run   string          `json:"run,omitempty"`   // identifier of a request that it has begun to run
}

// RunProcess runs a backend server on an IP and port until done is closed, and writes its lines.
func RunProcess(listen, name, pool, dataHall string, x Behaviour, out io.Writer, done <-chan struct{}) error {
	var mu sync.Mutex
	lines := json.NewEncoder(out)
	write := func(l ProcessLine) {
		mu.Lock()
		defer mu.Unlock()
		_ = lines.Encode(l)
	}
	b, err := newBackendAt(listen, nil, announcement{name: name, pool: pool, dataHall: dataHall, version: DefaultVersion, prepare: func(b *Backend) {
		b.behaviour = x
		b.onRun = func(r Run) { write(ProcessLine{Run: r.ID}) }
	}})
	if err != nil {
		return err
	}
	write(ProcessLine{Entry: b.Entry("ready")})
	<-done
	b.Close()
	return nil
}
