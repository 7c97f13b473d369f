package core

import (
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// encodeLoadReport encodes a load report of package prompt as a message, without its sender.
func encodeLoadReport(w prompt.LoadReport) *wire.Loads {
	out := &wire.Loads{Sequence: w.Sequence}
	for _, l := range w.Loads {
		out.Backends = append(out.Backends, uint32(l.Backend))
		out.Sent = append(out.Sent, l.Sent)
		out.Running = append(out.Running, l.Running)
	}
	for _, n := range w.Placements {
		out.PlacedOn = append(out.PlacedOn, uint32(n.Backend))
		out.Parts = append(out.Parts, n.Part)
	}
	for _, n := range w.Accounts {
		out.Accounts = append(out.Accounts, uint32(n.Account))
		out.Asked = append(out.Asked, n.Requested)
		out.Begun = append(out.Begun, n.Started)
	}
	return out
}

// decodeLoadReport decodes a load report from a message. Parallel lists of different lengths are left out.
func decodeLoadReport(in *wire.Loads) prompt.LoadReport {
	out := prompt.LoadReport{Sequence: in.Sequence}
	if len(in.Backends) == len(in.Sent) && len(in.Backends) == len(in.Running) {
		for i, id := range in.Backends {
			out.Loads = append(out.Loads, prompt.Load{Backend: model.BackendID(id), Sent: in.Sent[i], Running: in.Running[i]})
		}
	}
	if len(in.PlacedOn) == len(in.Parts) {
		for i, id := range in.PlacedOn {
			out.Placements = append(out.Placements, prompt.Placement{Backend: model.BackendID(id), Part: in.Parts[i]})
		}
	}
	if len(in.Accounts) == len(in.Asked) && len(in.Accounts) == len(in.Begun) {
		for i, id := range in.Accounts {
			out.Accounts = append(out.Accounts, prompt.AccountIncrement{Account: model.AccountID(id), Requested: in.Asked[i], Started: in.Begun[i]})
		}
	}
	return out
}
