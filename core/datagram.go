package core

import (
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// receive processes a datagram's parts in an order in which later ones can depend on earlier ones.
func (c *Core) receive(d *wire.Datagram) {
	if d.To != c.members.Self().Name || d.From == d.To {
		return
	}
	c.members.RecordContact(c.now, d.From, d.Boot)
	for _, r := range d.Rumours {
		c.members.UpdateAddress(d.From, r)
		c.members.ApplyRumour(c.now, r)
	}
	c.handleMemberChanges()
	if c.members.Get(d.From) == nil {
		return
	}
	c.probeDead(d.From)
	c.applyStoreAge(d.StoreAgeMs)
	c.mergeSuspicions(d.Suspicions)
	c.sendMissingSuspicions(d)
	if d.Probe != nil {
		for _, s := range c.members.Receive(c.now, d.From, d.Probe) {
			c.sendProbe(s)
		}
	}
	for _, f := range d.Free {
		c.recordFreeSlots(d.From, model.PoolID(f.Pool), int(f.Slots))
	}
	if len(d.Loads) > 0 || d.LoadsTo == wire.PassOn_PASS_ON_ALL {
		c.receiveLoads(d)
	}
	if d.Report != nil {
		c.applyReport(d.From, d.Report)
	}
	c.takeGrants(d.From, d.Boot, d.Grants)
	if d.Up != nil {
		for _, s := range c.ledger.ReceiveUp(c.now, d.From, d.Up) {
			c.sendLedger(s)
		}
	}
	if d.Down != nil {
		c.ledger.ReceiveDown(c.now, d.From, d.Down)
		c.markAllDirty()
	}
	theirs := Versions{Generation: d.Generation, Catalog: d.Catalog, Halls: d.Halls}
	c.streams.announced = c.streams.announced.highest(theirs)
	c.receiveStreams(d)
	if theirs.Exceed(c.config.Versions()) {
		from := c.members.Get(d.From)
		near := from.DataHall == c.members.Self().DataHall
		c.emit(NewerVersionSeen{From: d.From, Address: from.Address, SameDataHall: near, Versions: theirs})
	}
}

// probeDead probes a router that is considered dead and from which a datagram has just been received, so that it can
// refute its death.
func (c *Core) probeDead(name string) {
	for _, s := range c.members.PingDead(c.now, name) {
		c.sendProbe(s)
	}
}

// datagramTo returns the datagram that is assembled for a router in this step.
func (c *Core) datagramTo(name string) *wire.Datagram {
	d := c.outbox[name]
	if d == nil {
		d = &wire.Datagram{To: name}
		c.outbox[name] = d
	}
	return d
}

func (c *Core) flushOutbox() {
	for _, name := range sortedKeys(c.outbox) {
		d := c.outbox[name]
		delete(c.outbox, name)
		m := c.members.Get(name)
		if m == nil {
			continue
		}
		d.From = c.members.Self().Name
		d.Boot = c.members.Self().Boot
		d.Generation = c.config.Generation
		d.Catalog = c.config.Catalog
		d.Halls = c.config.Halls
		d.StoreAgeMs = c.storeAge()
		d.SuspicionsDigest = c.suspicions.tracker.Digest()
		if d.Probe != nil || len(d.Grants) > 0 {
			d.Free = c.freeSlots()
		}
		far := m.DataHall != c.members.Self().DataHall
		c.emit(Send{To: name, Address: m.Address, OtherDataHall: far, Datagram: d})
	}
}
