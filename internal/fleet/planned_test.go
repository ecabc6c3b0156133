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
	*world
	database model.DatabaseID
	value    int
	last     time.Time
	longest  time.Duration
}

// start begins to write every few milliseconds.
func (w *writer) start() {
	w.last = w.now
	w.longest = 0
	w.step()
}

// step tries one write.
func (w *writer) step() {
	for _, id := range w.serving(w.database) {
		d := w.world.database(id, w.database)
		if _, ok := w.instances[d.Primary].write(d.Term, w.value); ok {
			w.value++
			w.longest = max(w.longest, w.now.Sub(w.last))
			w.last = w.now
			break
		}
	}
	w.after(2*time.Millisecond, w.step)
}

func TestPlanned(t *testing.T) {
	tests := map[string]struct {
		cause func(w *world, owner model.HostID, primary model.InstanceID)
		check func(w *world, owner model.HostID, primary model.InstanceID) string
		most  time.Duration
	}{
		"primary leaves": {
			cause: func(w *world, _ model.HostID, primary model.InstanceID) { w.instances[primary].leaving = true },
			check: func(w *world, _ model.HostID, primary model.InstanceID) string {
				if w.store.rows["d0"].Primary == primary {
					return "the leaving primary is still primary"
				}
				return ""
			},
			most: 100 * time.Millisecond,
		},
		"owner stops": {
			cause: func(w *world, owner model.HostID, _ model.InstanceID) {
				w.deliver(w.hosts[owner], w.hosts[owner].machine, Stop{})
			},
			check: func(w *world, owner model.HostID, _ model.InstanceID) string {
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
			cause: func(w *world, owner model.HostID, _ model.InstanceID) { w.addHost(preferred(w, owner), 0) },
			check: func(w *world, owner model.HostID, _ model.InstanceID) string {
				if got := w.store.rows["d0"].Owner; got != preferred(w, owner) {
					return "owned by " + string(got)
				}
				return ""
			},
			most: 100 * time.Millisecond,
		},
		"an instance joins": {
			cause: func(w *world, _ model.HostID, primary model.InstanceID) {
				w.instances["d0-9"] = &fakeInstance{
					world:    w,
					place:    model.Instance{ID: "d0-9", Database: "d0", DataCentre: place(1)},
					role:     model.RoleReplica,
					timeline: model.Timeline{{Term: 1}},
					leader:   primary,
					listed:   true,
				}
			},
			check: func(w *world, _ model.HostID, _ model.InstanceID) string {
				if !slices.Contains(w.store.rows["d0"].Instances, "d0-9") {
					return "the new instance is not in the group"
				}
				return ""
			},
			most: 100 * time.Millisecond,
		},
		"an instance is removed": {
			cause: func(w *world, _ model.HostID, primary model.InstanceID) {
				for _, id := range w.instanceIDs() {
					if f := w.instances[id]; f.place.Database == "d0" && id != primary {
						f.listed = false
						f.down = true
						return
					}
				}
			},
			check: func(w *world, _ model.HostID, _ model.InstanceID) string {
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
			w := &writer{world: newWorld(4, 3), database: "d0"}
			w.copyAll()
			w.run(settled)
			owner, primary := w.store.rows["d0"].Owner, w.store.rows["d0"].Primary
			w.start()
			w.run(time.Second)
			test.cause(w.world, owner, primary)
			w.run(30 * time.Second)
			if got := test.check(w.world, owner, primary); got != "" {
				t.Errorf("got %s, want it done", got)
			}
			t.Logf("gap %v", w.longest)
			if w.longest > test.most {
				t.Errorf("got a gap of %v, want at most %v", w.longest, test.most)
			}
			held := w.instances[w.store.rows["d0"].Primary]
			if got := len(held.log); got != w.value {
				t.Errorf("got %d writes in the primary's log, want all %d", got, w.value)
			}
		})
	}
}

// preferred returns a new host that comes before the owner among the candidates for the first database.
func preferred(w *world, owner model.HostID) model.HostID {
	primary := w.instances[w.store.rows["d0"].Primary].place
	for number := 10; ; number++ {
		made := model.Host{ID: model.HostID(fmt.Sprintf("h%d", number)), DataCentre: place(0)}
		if rank("d0", primary, []model.Host{w.hosts["h0"].host, w.hosts["h3"].host, made})[0] == made.ID && made.ID != owner {
			return made.ID
		}
	}
}
