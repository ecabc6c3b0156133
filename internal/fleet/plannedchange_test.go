package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// writer writes to one database through whichever host serves it, and measures the longest time without a write.
type writer struct {
	*simulation
	database   model.DatabaseID
	value      int
	lastWrite  time.Time
	longestGap time.Duration
}

// startWriting begins to write every few milliseconds.
func (w *writer) startWriting() {
	w.lastWrite = w.now
	w.longestGap = 0
	w.tryWrite()
}

// tryWrite tries one write.
func (w *writer) tryWrite() {
	for _, id := range w.servingHosts(w.database) {
		d := w.simulation.databaseView(id, w.database)
		if _, ok := w.instances[d.Primary].write(d.Term, w.value); ok {
			w.value++
			w.longestGap = max(w.longestGap, w.now.Sub(w.lastWrite))
			w.lastWrite = w.now
			break
		}
	}
	w.schedule(2*time.Millisecond, w.tryWrite)
}

func TestPlannedChanges(t *testing.T) {
	tests := map[string]struct {
		cause func(w *simulation, owner model.HostID, primary model.InstanceID)
		check func(w *simulation, owner model.HostID, primary model.InstanceID) string
		most  time.Duration
	}{
		"primary leaves": {
			cause: func(w *simulation, _ model.HostID, primary model.InstanceID) { w.instances[primary].leaving = true },
			check: func(w *simulation, _ model.HostID, primary model.InstanceID) string {
				if w.store.rows["d0"].Primary == primary {
					return "the leaving primary is still primary"
				}
				return ""
			},
			most: 100 * time.Millisecond,
		},
		"owner stops": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) {
				w.deliver(w.hosts[owner], w.hosts[owner].machine, Stop{})
			},
			check: func(w *simulation, owner model.HostID, _ model.InstanceID) string {
				for id, row := range w.store.rows {
					if row.Owner == owner {
						return "the stopping host still owns " + string(id)
					}
				}
				return ""
			},
			most: 100 * time.Millisecond,
		},
		"a preferred host joins": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) { w.addHost(newPreferredHost(w, owner), 0) },
			check: func(w *simulation, owner model.HostID, _ model.InstanceID) string {
				if got := w.store.rows["d0"].Owner; got != newPreferredHost(w, owner) {
					return "owned by " + string(got)
				}
				return ""
			},
			most: 100 * time.Millisecond,
		},
		"an instance joins": {
			cause: func(w *simulation, _ model.HostID, primary model.InstanceID) {
				w.instances["d0-9"] = &fakeInstance{
					simulation: w,
					instance:   model.Instance{ID: "d0-9", Database: "d0", DataCentre: dataCentre(1)},
					role:       model.RoleReplica,
					timeline:   model.Timeline{{Term: 1}},
					upstream:   primary,
					listed:     true,
				}
			},
			check: func(w *simulation, _ model.HostID, _ model.InstanceID) string {
				if !slices.Contains(w.store.rows["d0"].Instances, "d0-9") {
					return "the new instance is not in the group"
				}
				return ""
			},
			most: 100 * time.Millisecond,
		},
		"an instance is removed": {
			cause: func(w *simulation, _ model.HostID, primary model.InstanceID) {
				for _, id := range w.instanceIDs() {
					if f := w.instances[id]; f.instance.Database == "d0" && id != primary {
						f.listed = false
						f.down = true
						return
					}
				}
			},
			check: func(w *simulation, _ model.HostID, _ model.InstanceID) string {
				if got := len(w.store.rows["d0"].Instances); got != 2 {
					return "the removed instance is still in the group"
				}
				return ""
			},
			most: 100 * time.Millisecond,
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
				t.Errorf("got %s, want it done", got)
			}
			t.Logf("gap %v", w.longestGap)
			if w.longestGap > test.most {
				t.Errorf("got a gap of %v, want at most %v", w.longestGap, test.most)
			}
			held := w.instances[w.store.rows["d0"].Primary]
			if got := len(held.log); got != w.value {
				t.Errorf("got %d writes in the primary's log, want all %d", got, w.value)
			}
		})
	}
}

// newPreferredHost returns a new host that comes before the owner among the candidates for the first database.
func newPreferredHost(w *simulation, owner model.HostID) model.HostID {
	primary := w.instances[w.store.rows["d0"].Primary].instance
	for number := 10; ; number++ {
		made := model.Host{ID: model.HostID(fmt.Sprintf("h%d", number)), DataCentre: dataCentre(0)}
		if rankCandidates("d0", primary, []model.Host{w.hosts["h0"].host, w.hosts["h3"].host, made})[0] == made.ID && made.ID != owner {
			return made.ID
		}
	}
}
