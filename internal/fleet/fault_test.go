package fleet

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// settleTime is the time after which a new fleet serves everything.
const settleTime = 3 * time.Second

// awaitService waits until the database is served in a higher term than before, and returns how long that took.
func (w *simulation) awaitService(id model.DatabaseID, above model.Term, limit time.Duration) (time.Duration, bool) {
	start := w.now
	for w.now.Sub(start) < limit {
		for _, host := range w.servingHosts(id) {
			d := w.databaseView(host, id)
			primary := w.instances[d.Primary]
			if d.Term > above && !w.hosts[host].paused && !primary.down && w.reaches(string(host), string(primary.instance.ID)) {
				return w.now.Sub(start), true
			}
		}
		w.run(5 * time.Millisecond)
	}
	return limit, false
}

// cutLink cuts the messages between two names.
func (w *simulation) cutLink(a, b string) {
	w.cutLinks[[2]string{a, b}] = true
	w.cutLinks[[2]string{b, a}] = true
}

// TestServiceAfterFaults causes faults after which the database must be served again, by which host and which primary, and how soon.
func TestServiceAfterFaults(t *testing.T) {
	type cause func(w *simulation, owner model.HostID, primary model.InstanceID)
	tests := map[string]struct {
		cause    cause
		promoted bool // another instance becomes primary
		moved    bool // another host becomes owner
		most     time.Duration
	}{
		"owner crashes": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) { w.hosts[owner].down = true },
			moved: true,
			most:  time.Second,
		},
		"owner is paused": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) { w.hosts[owner].paused = true },
			moved: true,
			most:  time.Second,
		},
		"owner is isolated": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) { w.isolate(string(owner)) },
			moved: true,
			most:  time.Second,
		},
		"owner is started again": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) {
				w.hosts[owner].down = true
				w.schedule(100*time.Millisecond, func() { w.startHost(owner) })
			},
			moved: true,
			most:  time.Second,
		},
		"owner does not reach the primary, others do": {
			cause: func(w *simulation, owner model.HostID, primary model.InstanceID) {
				w.cutLink(string(owner), string(primary))
			},
			moved: true,
			most:  time.Second,
		},
		"owner does not reach any instance": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) {
				for _, id := range w.instanceIDs() {
					w.cutLink(string(owner), string(id))
				}
			},
			moved: true,
			most:  time.Second,
		},
		"owner reaches no other host, only store and instances": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) {
				for _, id := range w.hostIDs() {
					w.cutLink(string(owner), string(id))
				}
			},
			moved: true,
			most:  time.Second,
		},
		"primary crashes": {
			cause:    func(w *simulation, _ model.HostID, primary model.InstanceID) { w.instances[primary].down = true },
			promoted: true,
			most:     time.Second,
		},
		"primary is isolated": {
			cause:    func(w *simulation, _ model.HostID, primary model.InstanceID) { w.isolate(string(primary)) },
			promoted: true,
			most:     time.Second,
		},
		"primary crashes, answers of the store are lost": {
			cause: func(w *simulation, _ model.HostID, primary model.InstanceID) {
				w.instances[primary].down = true
				w.store.answersToLose = 2
			},
			promoted: true,
			most:     time.Second,
		},
		"primary crashes, the store is slow": {
			cause: func(w *simulation, _ model.HostID, primary model.InstanceID) {
				w.instances[primary].down = true
				w.storeDelay = time.Second
			},
			promoted: true,
			most:     5 * time.Second,
		},
		"primary crashes, the store comes back after 5 s": {
			cause: func(w *simulation, _ model.HostID, primary model.InstanceID) {
				w.instances[primary].down = true
				w.store.down = true
				w.schedule(5*time.Second, func() { w.store.down = false })
			},
			promoted: true,
			most:     6 * time.Second,
		},
		"owner crashes, the store comes back after 5 s": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) {
				w.hosts[owner].down = true
				w.store.down = true
				w.schedule(5*time.Second, func() { w.store.down = false })
			},
			moved: true,
			most:  6 * time.Second,
		},
		"primary and a replica crash, the replica comes back after 5 s": {
			cause: func(w *simulation, _ model.HostID, primary model.InstanceID) {
				w.instances[primary].down = true
				second := otherInstance(w, primary)
				second.down = true
				w.schedule(5*time.Second, func() { second.down = false })
			},
			promoted: true,
			most:     6 * time.Second,
		},
		"owner and primary crash": {
			cause: func(w *simulation, owner model.HostID, primary model.InstanceID) {
				w.hosts[owner].down = true
				w.instances[primary].down = true
			},
			promoted: true,
			moved:    true,
			most:     time.Second,
		},
		"owner and primary are isolated": {
			cause: func(w *simulation, owner model.HostID, primary model.InstanceID) {
				w.isolate(string(owner))
				w.isolate(string(primary))
			},
			promoted: true,
			moved:    true,
			most:     time.Second,
		},
		"owner and primary are isolated together": {
			cause: func(w *simulation, owner model.HostID, primary model.InstanceID) {
				for _, name := range w.nodeNames() {
					if name != string(owner) && name != string(primary) {
						w.cutLink(string(owner), name)
						w.cutLink(string(primary), name)
					}
				}
			},
			promoted: true,
			moved:    true,
			most:     time.Second,
		},
		"owner and its first successor crash": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) {
				w.hosts[owner].down = true
				w.hosts[otherHost(w, owner)].down = true
			},
			moved: true,
			most:  time.Second,
		},
		"two candidates race": {
			cause: func(w *simulation, owner model.HostID, primary model.InstanceID) {
				w.hosts[owner].down = true
				for _, h := range w.hosts {
					h.machine.Timing.TakeoverStagger = 0
				}
				w.instances[primary].down = true
			},
			promoted: true,
			moved:    true,
			most:     time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(4, 3)
			w.copyAll()
			w.run(15 * time.Second)
			owner := w.store.rows["d0"].Owner
			before := w.databaseView(owner, "d0")
			test.cause(w, owner, before.Primary)
			gap, ok := w.awaitService("d0", before.Term, 20*time.Second)
			if !ok {
				t.Fatalf("got no service after %v, want it", gap)
			}
			t.Logf("gap %v", gap)
			if gap > test.most {
				t.Errorf("got gap %v, want at most %v", gap, test.most)
			}
			w.run(time.Second)
			row := w.store.rows["d0"]
			if got := row.Owner != owner; got != test.moved {
				t.Errorf("got owner moved %v, want %v", got, test.moved)
			}
			if got := row.Primary != before.Primary; got != test.promoted {
				t.Errorf("got primary changed %v, want %v", got, test.promoted)
			}
			if got := row.Term - before.Term; got > 4 {
				t.Errorf("got %d changes of the term, want few", got)
			}
		})
	}
}

// nodeNames returns every name that messages go to.
func (w *simulation) nodeNames() []string {
	names := []string{"store"}
	for _, id := range w.hostIDs() {
		names = append(names, string(id))
	}
	for _, id := range w.instanceIDs() {
		names = append(names, string(id))
	}
	return names
}

// TestBestReplicaIsPromoted crashes a primary whose replicas hold different parts of its log.
func TestBestReplicaIsPromoted(t *testing.T) {
	tests := map[string]struct {
		lengths [2]int // entries that the two replicas hold
		leaving [2]bool
		want    model.InstanceID
	}{
		"the first is ahead":             {lengths: [2]int{50, 10}, want: "d0-1"},
		"the second is ahead":            {lengths: [2]int{10, 50}, want: "d0-2"},
		"far behind, the other is gone":  {lengths: [2]int{0, 50}, want: "d0-2"},
		"equal, the first leaves":        {lengths: [2]int{50, 50}, leaving: [2]bool{true, false}, want: "d0-2"},
		"the one that leaves is further": {lengths: [2]int{50, 49}, leaving: [2]bool{true, false}, want: "d0-1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(4, 1)
			w.run(settleTime)
			row := w.store.rows["d0"]
			primary := w.instances["d0-0"]
			for value := range 60 {
				primary.write(row.Term, value)
			}
			for i, id := range []model.InstanceID{"d0-1", "d0-2"} {
				w.instances[id].replicate(test.lengths[i])
				w.instances[id].leaving = test.leaving[i]
			}
			primary.down = true
			w.copyAll()
			if _, ok := w.awaitService("d0", row.Term, 5*time.Second); !ok {
				t.Fatal("got no service, want it")
			}
			w.run(100 * time.Millisecond)
			if got := w.store.rows["d0"].Primary; got != test.want {
				t.Errorf("got primary %s, want %s", got, test.want)
			}
		})
	}
}

// TestOldPrimaryComesBack lets a former primary return with entries that no other instance has.
func TestOldPrimaryComesBack(t *testing.T) {
	w := newSimulation(4, 1)
	w.copyAll()
	w.run(settleTime)
	row := w.store.rows["d0"]
	old := w.instances["d0-0"]
	old.write(row.Term, 1)
	w.run(time.Second)
	w.isolate("d0-0")
	old.write(row.Term, 2)
	if _, ok := w.awaitService("d0", row.Term, 5*time.Second); !ok {
		t.Fatal("got no service, want it")
	}
	if _, ok := old.write(row.Term, 3); !ok {
		t.Fatal("got the isolated primary fenced, want it to believe that it leads")
	}
	w.heal()
	w.run(2 * time.Second)
	if _, ok := old.write(row.Term, 4); ok {
		t.Error("got a write in the old term, want it refused")
	}
	if old.role != model.RoleReplica || old.holds(2) || old.holds(3) || !old.holds(1) {
		t.Errorf("got role %s and log %v, want a replica with only the first write", old.role, old.log)
	}
}

// TestNoFlapping repeats a short fault and counts the changes of the term.
func TestNoFlapping(t *testing.T) {
	tests := map[string]struct {
		flip func(w *simulation, owner model.HostID, primary model.InstanceID, bad bool)
		most model.Term
	}{
		"primary is silent half of the time": {
			flip: func(w *simulation, _ model.HostID, primary model.InstanceID, bad bool) {
				w.instances[primary].down = bad
			},
			most: 2,
		},
		"owner is paused half of the time": {
			flip: func(w *simulation, owner model.HostID, _ model.InstanceID, bad bool) {
				if w.hosts[owner].paused = bad; !bad {
					w.resume(owner)
				}
			},
			most: 8,
		},
		"two hosts lose each other half of the time": {
			flip: func(w *simulation, owner model.HostID, _ model.InstanceID, bad bool) {
				w.cutLink(string(owner), string(otherHost(w, owner)))
				if !bad {
					w.heal()
				}
			},
			most: 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(4, 1)
			w.copyAll()
			w.run(15 * time.Second)
			row := w.store.rows["d0"]
			bad := false
			w.scheduleEvery(400*time.Millisecond, func() {
				bad = !bad
				test.flip(w, row.Owner, row.Primary, bad)
			})
			w.run(time.Minute)
			if got := w.store.rows["d0"].Term - row.Term; got > test.most {
				t.Errorf("got %d changes of the term in a minute, want at most %d", got, test.most)
			}
		})
	}
}
