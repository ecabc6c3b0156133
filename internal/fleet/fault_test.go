package fleet

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// settled is the time after which a new fleet serves everything.
const settled = 3 * time.Second

// gap waits until the database is served in a higher term than before, and returns how long that took.
func (w *world) gap(id model.DatabaseID, above model.Term, limit time.Duration) (time.Duration, bool) {
	start := w.now
	for w.now.Sub(start) < limit {
		for _, host := range w.serving(id) {
			d := w.database(host, id)
			primary := w.instances[d.Primary]
			if d.Term > above && !w.hosts[host].paused && !primary.down && w.reaches(string(host), string(primary.place.ID)) {
				return w.now.Sub(start), true
			}
		}
		w.run(5 * time.Millisecond)
	}
	return limit, false
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		cause    func(w *world, owner model.HostID, primary model.InstanceID)
		promoted bool // another instance becomes primary
		moved    bool // another host becomes owner
		most     time.Duration
	}{
		"owner crashes": {
			cause: func(w *world, owner model.HostID, _ model.InstanceID) { w.hosts[owner].down = true },
			moved: true,
			most:  time.Second,
		},
		"owner is paused": {
			cause: func(w *world, owner model.HostID, _ model.InstanceID) { w.hosts[owner].paused = true },
			moved: true,
			most:  time.Second,
		},
		"owner is isolated": {
			cause: func(w *world, owner model.HostID, _ model.InstanceID) { w.isolate(string(owner)) },
			moved: true,
			most:  time.Second,
		},
		"primary crashes": {
			cause:    func(w *world, _ model.HostID, primary model.InstanceID) { w.instances[primary].down = true },
			promoted: true,
			most:     time.Second,
		},
		"primary is isolated": {
			cause:    func(w *world, _ model.HostID, primary model.InstanceID) { w.isolate(string(primary)) },
			promoted: true,
			most:     time.Second,
		},
		"owner and primary crash": {
			cause: func(w *world, owner model.HostID, primary model.InstanceID) {
				w.hosts[owner].down = true
				w.instances[primary].down = true
			},
			promoted: true,
			moved:    true,
			most:     time.Second,
		},
		"owner and primary are isolated": {
			cause: func(w *world, owner model.HostID, primary model.InstanceID) {
				w.isolate(string(owner))
				w.isolate(string(primary))
			},
			promoted: true,
			moved:    true,
			most:     1200 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4, 3)
			w.run(settled)
			owners := w.serving("d0")
			if len(owners) != 1 {
				t.Fatalf("got owners %v, want one", owners)
			}
			before := w.database(owners[0], "d0")
			test.cause(w, owners[0], before.Primary)
			gap, ok := w.gap("d0", before.Term, 10*time.Second)
			if !ok {
				t.Fatalf("got no service after %v, want it", gap)
			}
			t.Logf("gap %v", gap)
			if gap > test.most {
				t.Errorf("got gap %v, want at most %v", gap, test.most)
			}
			row := w.store.rows["d0"]
			if got := row.Owner != owners[0]; got != test.moved {
				t.Errorf("got owner moved %v, want %v", got, test.moved)
			}
			now := w.database(row.Owner, "d0")
			if got := now.Primary != before.Primary; got != test.promoted {
				t.Errorf("got primary changed %v, want %v", got, test.promoted)
			}
		})
	}
}
