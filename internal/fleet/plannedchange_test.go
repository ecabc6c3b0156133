package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// writer writes to a database through the host that serves it, and measures the longest gap between two writes.
type writer struct {
	*simulation
	database   model.DatabaseID
	written    int // number of writes so far, and the value of the next
	lastWrite  time.Time
	longestGap time.Duration
}

// startWriting starts writing every 2 ms.
func (w *writer) startWriting() {
	w.lastWrite = w.now
	w.longestGap = 0
	w.tryWrite()
}

// tryWrite attempts one write and schedules the next.
func (w *writer) tryWrite() {
	for _, id := range w.servingHosts(w.database) {
		d := w.simulation.databaseView(id, w.database)
		if _, ok := w.instances[d.Primary].write(d.Term, w.written); ok {
			w.written++
			w.longestGap = max(w.longestGap, w.now.Sub(w.lastWrite))
			w.lastWrite = w.now
			break
		}
	}
	w.schedule(2*time.Millisecond, w.tryWrite)
}

func TestPlannedChanges(t *testing.T) {
	tests := map[string]struct {
		cause  func(sim *simulation, owner model.HostID, primary model.InstanceID)
		check  func(sim *simulation, owner model.HostID, primary model.InstanceID) string
		maxGap time.Duration
	}{
		"primary leaves": {
			cause: func(sim *simulation, _ model.HostID, primary model.InstanceID) { sim.instances[primary].leaving = true },
			check: func(sim *simulation, _ model.HostID, primary model.InstanceID) string {
				if sim.store.rows["d0"].Primary == primary {
					return "the leaving primary is still primary"
				}
				return ""
			},
			maxGap: 100 * time.Millisecond,
		},
		"owner stops": {
			cause: func(sim *simulation, owner model.HostID, _ model.InstanceID) {
				sim.deliver(sim.hosts[owner], sim.hosts[owner].machine, Stop{})
			},
			check: func(sim *simulation, owner model.HostID, _ model.InstanceID) string {
				for id, row := range sim.store.rows {
					if row.Owner == owner {
						return "the stopping host still owns " + string(id)
					}
				}
				return ""
			},
			maxGap: 100 * time.Millisecond,
		},
		"a preferred host joins": {
			cause: func(sim *simulation, owner model.HostID, _ model.InstanceID) {
				sim.addHost(preferredHostID(sim, owner), 0)
			},
			check: func(sim *simulation, owner model.HostID, _ model.InstanceID) string {
				if got := sim.store.rows["d0"].Owner; got != preferredHostID(sim, owner) {
					return "owned by " + string(got)
				}
				return ""
			},
			maxGap: 100 * time.Millisecond,
		},
		"an instance joins": {
			cause: func(sim *simulation, _ model.HostID, primary model.InstanceID) {
				sim.instances["d0-9"] = &fakeInstance{
					simulation: sim,
					instance:   model.Instance{ID: "d0-9", Database: "d0", DataCentre: dataCentre(1)},
					role:       model.RoleReplica,
					timeline:   model.Timeline{{Term: 1}},
					upstream:   primary,
					listed:     true,
				}
			},
			check: func(sim *simulation, _ model.HostID, _ model.InstanceID) string {
				if !slices.Contains(sim.store.rows["d0"].Instances, "d0-9") {
					return "the ownership row does not list the new instance"
				}
				return ""
			},
			maxGap: 100 * time.Millisecond,
		},
		"an instance is removed": {
			cause: func(sim *simulation, _ model.HostID, primary model.InstanceID) {
				for _, id := range sim.instanceIDs() {
					if f := sim.instances[id]; f.instance.Database == "d0" && id != primary {
						f.listed = false
						f.down = true
						return
					}
				}
			},
			check: func(sim *simulation, _ model.HostID, _ model.InstanceID) string {
				if got := len(sim.store.rows["d0"].Instances); got != 2 {
					return "the ownership row still lists the removed instance"
				}
				return ""
			},
			maxGap: 100 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := &writer{simulation: newSimulation(4, 3), database: "d0"}
			w.copyAll()
			w.run(settleTime)
			owner, primary := w.store.rows["d0"].Owner, w.store.rows["d0"].Primary
			w.startWriting()
			w.run(time.Second)
			test.cause(w.simulation, owner, primary)
			w.run(30 * time.Second)
			if got := test.check(w.simulation, owner, primary); got != "" {
				t.Errorf("got %s, want the planned change done", got)
			}
			t.Logf("gap %v", w.longestGap)
			if w.longestGap > test.maxGap {
				t.Errorf("got a gap of %v, want at most %v", w.longestGap, test.maxGap)
			}
			current := w.instances[w.store.rows["d0"].Primary]
			if got := len(current.log); got != w.written {
				t.Errorf("got %d writes in the primary's log, want all %d", got, w.written)
			}
		})
	}
}

// preferredHostID returns the id of a new host in data centre 0 that ranks before its hosts h0 and h3 as a candidate for d0.
func preferredHostID(sim *simulation, owner model.HostID) model.HostID {
	primary := sim.instances[sim.store.rows["d0"].Primary].instance
	for number := 10; ; number++ {
		host := model.Host{ID: model.HostID(fmt.Sprintf("h%d", number)), DataCentre: dataCentre(0)}
		if rankCandidates("d0", primary, []model.Host{sim.hosts["h0"].host, sim.hosts["h3"].host, host})[0] == host.ID && host.ID != owner {
			return host.ID
		}
	}
}
