package fleet

import (
	"cmp"
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
)

// maxDeparted is the number of backend servers that are remembered after they have left the list: more than the
// configuration of a large fleet lists, which may still name them.
const maxDeparted = 16_384

// departures determines the backend servers that are leaving, or have left the VM list.
type departures struct {
	limit    int               // how many are remembered
	listed   map[string]bool   // the last list
	departed map[string]uint64 // in the order in which they began to leave
	last     uint64
}

// update takes over a list, with whether each backend server is live, and returns those that it shows as leaving, and
// those that earlier ones contained and it doesn't. Those that no list has contained are not returned, nor are those that
// have the identity of a live one.
func (d *departures) update(live map[string]bool) []model.BackendID {
	if d.departed == nil {
		d.departed = map[string]uint64{}
	}
	for name, isLive := range live {
		if isLive {
			delete(d.departed, name)
		} else {
			d.add(name)
		}
	}
	for name := range d.listed {
		if _, still := live[name]; !still {
			d.add(name)
		}
	}
	d.listed = live
	d.forgetOldest()
	return d.identities(live)
}

// identities returns those of the backend servers that are remembered, without those of live ones.
func (d *departures) identities(live map[string]bool) []model.BackendID {
	kept := map[model.BackendID]bool{}
	for name, isLive := range live {
		if isLive {
			kept[model.Backend(name)] = true
		}
	}
	var out []model.BackendID
	for name := range d.departed {
		if id := model.Backend(name); !kept[id] {
			out = append(out, id)
		}
	}
	return out
}

func (d *departures) add(name string) {
	if _, known := d.departed[name]; known {
		return
	}
	d.last++
	d.departed[name] = d.last
}

// forgetOldest forgets the backend servers that left first, beyond the limit.
func (d *departures) forgetOldest() {
	surplus := len(d.departed) - d.limit
	if surplus <= 0 {
		return
	}
	var names []string
	for name := range d.departed {
		if _, listed := d.listed[name]; !listed {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(x, y string) int { return cmp.Compare(d.departed[x], d.departed[y]) })
	for _, name := range names[:min(surplus, len(names))] {
		delete(d.departed, name)
	}
}
