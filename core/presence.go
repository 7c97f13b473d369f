package core

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// A router that sends no reports either has nothing to report or can't be reached, and the others must soon be able to
// distinguish these. An idle router therefore sends heartbeats to its relay, and relays include in their own load
// reports which routers they receive directly (the senders): a digest, and the list itself when it has changed. The
// senders' own reports are sent first, so that the state of a listed router with nothing new to report is as current as
// that of one that has just reported.

const (
	// relayHeartbeatInterval is how often a relay reports its senders.
	relayHeartbeatInterval = 150 * time.Millisecond
	// heartbeatInterval is how often another router sends a heartbeat to its relay.
	heartbeatInterval = 200 * time.Millisecond
	// senderTTL is how long a router counts as a sender after its last report or heartbeat: two intervals.
	senderTTL = 2 * heartbeatInterval
	// sendersRepeatInterval is how often an unchanged list of senders is sent again, as the last one may have been
	// lost.
	sendersRepeatInterval = 500 * time.Millisecond
	// presenceShare is the part of the byte rate that all relays together may use to report digests, and again to
	// repeat unchanged lists.
	presenceShare = 0.15
	// digestBytes is the approximate size in bytes of a relay's report of an unchanged digest.
	digestBytes = 20.0
	// senderBytes is the size in bytes of one router in a list of senders.
	senderBytes = 4.0
)

// presence is the state of reporting which routers are alive.
type presence struct {
	enabled       bool                  // the policy in force uses it
	lastHeartbeat model.Time            // when this router last sent a heartbeat to its relay
	lastReceived  map[string]model.Time // when each router last sent to this one as its relay
	sentDigest    uint32                // of the senders last reported
	listSent      model.Time            // when their list was last sent
	senderLists   map[string]senderList // by the router that reported the list
}

// senderList is the list of senders that a router has reported.
type senderList struct {
	digest uint32
	names  []string
}

func newPresence() presence {
	return presence{lastReceived: map[string]model.Time{}, senderLists: map[string]senderList{}}
}

// nextPresence returns when this router's next heartbeat is due.
func (l *loadExchange) nextPresence() model.Time {
	switch {
	case !l.presence.enabled || len(l.plan.Relays) == 0:
		return never
	case l.link.relay == "":
		return l.lastSent + l.relayHeartbeatInterval()
	}
	return max(l.lastSent, l.presence.lastHeartbeat) + heartbeatInterval
}

// relayHeartbeatInterval returns how often this router, a relay, reports its senders. The interval is longer if all
// relays together would otherwise exceed their share of the byte rate.
func (l *loadExchange) relayHeartbeatInterval() time.Duration {
	return max(relayHeartbeatInterval, l.presenceInterval(float64(len(l.plan.Relays)+1)*digestBytes))
}

// presenceInterval returns the interval at which sending the given number of bytes stays within presenceShare of the
// byte rate.
func (l *loadExchange) presenceInterval(bytes float64) time.Duration {
	return time.Duration(bytes / (presenceShare * l.budget.rate) * float64(time.Second))
}

// sendHeartbeat sends a heartbeat if this router has sent nothing else.
func (c *Core) sendHeartbeat() {
	l := &c.loads
	if c.now < l.nextPresence() {
		return
	}
	if l.link.relay == "" || len(l.presence.lastReceived) > 0 {
		l.changed = true
		return
	}
	l.presence.lastHeartbeat = c.now
	for _, name := range c.reportTargets() {
		c.datagramTo(name).LoadsTo = wire.PassOn_PASS_ON_ALL
	}
}

// addSenders adds the senders to this router's own report, if it forwards for others or is a relay.
func (c *Core) addSenders(own *wire.Loads) {
	p := &c.loads.presence
	if !p.enabled {
		return
	}
	senders := c.senders(own.Router)
	if c.loads.link.relay != "" && len(senders) == 1 {
		return
	}
	own.HearsDigest = digestOf(senders)
	repeatInterval := max(sendersRepeatInterval, c.loads.presenceInterval(float64(len(c.members.Names())+1)*senderBytes))
	if own.HearsDigest != p.sentDigest || c.now >= p.listSent+repeatInterval {
		own.Hears = senders
		p.sentDigest, p.listSent = own.HearsDigest, c.now
	}
}

// senders returns the routers that sent to this one as their relay within senderTTL, and this router, as sorted hashes
// of their names.
func (c *Core) senders(self uint32) []uint32 {
	lastReceived := c.loads.presence.lastReceived
	out := []uint32{self}
	for _, name := range sortedKeys(lastReceived) {
		if c.now > lastReceived[name]+senderTTL {
			delete(lastReceived, name)
			continue
		}
		out = append(out, model.NameHash(name))
	}
	slices.Sort(out)
	return out
}

// digestOf returns a digest of routers, which is never 0.
func digestOf(routers []uint32) uint32 {
	var buffer []byte
	for _, r := range routers {
		buffer = binary.LittleEndian.AppendUint32(buffer, r)
	}
	return uint32(xxhash.Sum64(buffer)) | 1
}

// applySenders records the senders that a router reported. If the digest is that of its last known list, everything
// that these senders have reported has been received here.
func (c *Core) applySenders(from string, in *wire.Loads) {
	lists := c.loads.presence.senderLists
	if len(in.Hears) > 0 {
		lists[from] = senderList{digest: digestOf(in.Hears), names: c.namesOf(in.Hears)}
	}
	if in.HearsDigest == 0 || in.HearsDigest != lists[from].digest {
		return
	}
	for _, name := range lists[from].names {
		c.recordUnchanged(name)
	}
}

// recordUnchanged records that a router is alive and has nothing to report beyond what was received here.
func (c *Core) recordUnchanged(name string) {
	m := c.members.Get(name)
	switch {
	case m == nil || !c.loads.presence.enabled:
	case m.Reachable():
		c.prompt.ConfirmUnchanged(c.now, name)
	default:
		c.probeDead(name)
	}
}

// namesOf returns the names of those routers that are members.
func (c *Core) namesOf(routers []uint32) []string {
	var out []string
	for _, r := range routers {
		if m := c.memberByHash(r); m != nil {
			out = append(out, m.Name)
		}
	}
	return out
}

// withoutDigest returns the messages without their digests of senders, as queued messages may hold news of these.
// Messages without other content are left out.
func withoutDigest(loads []*wire.Loads) []*wire.Loads {
	var out []*wire.Loads
	for _, l := range loads {
		if l.HearsDigest != 0 {
			l = proto.Clone(l).(*wire.Loads)
			l.HearsDigest = 0
		}
		if !isEmpty(l) {
			out = append(out, l)
		}
	}
	return out
}

// holdsPayload reports whether a queued message holds more than senders.
func (q *loadQueue) holdsPayload() bool {
	return slices.ContainsFunc(q.waiting, func(w *queuedLoads) bool { return hasPayload(w.loads) })
}

// hasPayload reports whether a message holds more than senders.
func hasPayload(in *wire.Loads) bool {
	return len(in.Backends)+len(in.Parts)+len(in.Accounts)+len(in.Suspicions)+len(in.Versions) > 0
}

// mergeSenders merges a router's reported senders into its earlier message.
func mergeSenders(into, newer *wire.Loads) {
	if len(newer.Hears) > 0 || newer.HearsDigest != into.HearsDigest {
		into.Hears = newer.Hears
	}
	into.HearsDigest = newer.HearsDigest
}
