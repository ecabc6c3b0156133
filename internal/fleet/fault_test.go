package fleet

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// settleTime is the time that a new fleet gets to serve every database.
const settleTime = 3 * time.Second

// awaitService waits until the database is served in a term above the given one, and returns how long that took.
func (sim *simulation) awaitService(id model.DatabaseID, above model.Term, limit time.Duration) (time.Duration, bool) {
	start := sim.now
	for sim.now.Sub(start) < limit {
		for _, host := range sim.servingHosts(id) {
			d := sim.databaseView(host, id)
			primary := sim.instances[d.Primary]
			if d.Term > above && !sim.hosts[host].paused && !primary.down && sim.reaches(string(host), string(primary.instance.ID)) {
				return sim.now.Sub(start), true
			}
		}
		sim.run(5 * time.Millisecond)
	}
	return limit, false
}

// cutLink drops the messages between two nodes in both directions.
func (sim *simulation) cutLink(a, b string) {
	sim.cutLinks[[2]string{a, b}] = true
	sim.cutLinks[[2]string{b, a}] = true
}

// TestServiceAfterFaults checks that a database is served again soon after a fault, and whether its owner and primary changed.
func TestServiceAfterFaults(t *testing.T) {
	type cause func(sim *simulation, owner model.HostID, primary model.InstanceID)
	tests := map[string]struct {
		cause    cause
		promoted bool // whether another instance becomes primary
		moved    bool // whether another host becomes owner
		maxGap   time.Duration
	}{
		"owner crashes": {
			cause:  func(sim *simulation, owner model.HostID, _ model.InstanceID) { sim.hosts[owner].down = true },
			moved:  true,
			maxGap: time.Second,
		},
		"owner is paused": {
			cause:  func(sim *simulation, owner model.HostID, _ model.InstanceID) { sim.hosts[owner].paused = true },
			moved:  true,
			maxGap: time.Second,
		},
		"owner is isolated": {
			cause:  func(sim *simulation, owner model.HostID, _ model.InstanceID) { sim.isolate(string(owner)) },
			moved:  true,
			maxGap: time.Second,
		},
		"owner is restarted": {
			cause: func(sim *simulation, owner model.HostID, _ model.InstanceID) {
				sim.hosts[owner].down = true
				sim.schedule(100*time.Millisecond, func() { sim.startHost(owner) })
			},
			moved:  true,
			maxGap: time.Second,
		},
		"owner does not reach the primary, others do": {
			cause: func(sim *simulation, owner model.HostID, primary model.InstanceID) {
				sim.cutLink(string(owner), string(primary))
			},
			moved:  true,
			maxGap: time.Second,
		},
		"owner does not reach any instance": {
			cause: func(sim *simulation, owner model.HostID, _ model.InstanceID) {
				for _, id := range sim.instanceIDs() {
					sim.cutLink(string(owner), string(id))
				}
			},
			moved:  true,
			maxGap: time.Second,
		},
		"owner reaches no other host, only store and instances": {
			cause: func(sim *simulation, owner model.HostID, _ model.InstanceID) {
				for _, id := range sim.hostIDs() {
					sim.cutLink(string(owner), string(id))
				}
			},
			moved:  true,
			maxGap: time.Second,
		},
		"primary crashes": {
			cause:    func(sim *simulation, _ model.HostID, primary model.InstanceID) { sim.instances[primary].down = true },
			promoted: true,
			maxGap:   time.Second,
		},
		"primary is isolated": {
			cause:    func(sim *simulation, _ model.HostID, primary model.InstanceID) { sim.isolate(string(primary)) },
			promoted: true,
			maxGap:   time.Second,
		},
		"primary crashes, answers of the store are lost": {
			cause: func(sim *simulation, _ model.HostID, primary model.InstanceID) {
				sim.instances[primary].down = true
				sim.store.answersToLose = 2
			},
			promoted: true,
			maxGap:   time.Second,
		},
		"primary crashes, the store is slow": {
			cause: func(sim *simulation, _ model.HostID, primary model.InstanceID) {
				sim.instances[primary].down = true
				sim.storeDelay = time.Second
			},
			promoted: true,
			maxGap:   5 * time.Second,
		},
		"primary crashes, the store comes back after 5 s": {
			cause: func(sim *simulation, _ model.HostID, primary model.InstanceID) {
				sim.instances[primary].down = true
				sim.store.down = true
				sim.schedule(5*time.Second, func() { sim.store.down = false })
			},
			promoted: true,
			maxGap:   6 * time.Second,
		},
		"owner crashes, the store comes back after 5 s": {
			cause: func(sim *simulation, owner model.HostID, _ model.InstanceID) {
				sim.hosts[owner].down = true
				sim.store.down = true
				sim.schedule(5*time.Second, func() { sim.store.down = false })
			},
			moved:  true,
			maxGap: 6 * time.Second,
		},
		"primary and a replica crash, the replica comes back after 5 s": {
			cause: func(sim *simulation, _ model.HostID, primary model.InstanceID) {
				sim.instances[primary].down = true
				second := otherInstance(sim, primary)
				second.down = true
				sim.schedule(5*time.Second, func() { second.down = false })
			},
			promoted: true,
			maxGap:   6 * time.Second,
		},
		"owner and primary crash": {
			cause: func(sim *simulation, owner model.HostID, primary model.InstanceID) {
				sim.hosts[owner].down = true
				sim.instances[primary].down = true
			},
			promoted: true,
			moved:    true,
			maxGap:   time.Second,
		},
		"owner and primary are isolated": {
			cause: func(sim *simulation, owner model.HostID, primary model.InstanceID) {
				sim.isolate(string(owner))
				sim.isolate(string(primary))
			},
			promoted: true,
			moved:    true,
			maxGap:   time.Second,
		},
		"owner and primary are isolated together": {
			cause: func(sim *simulation, owner model.HostID, primary model.InstanceID) {
				for _, name := range sim.nodeNames() {
					if name != string(owner) && name != string(primary) {
						sim.cutLink(string(owner), name)
						sim.cutLink(string(primary), name)
					}
				}
			},
			promoted: true,
			moved:    true,
			maxGap:   time.Second,
		},
		"owner and its first successor crash": {
			cause: func(sim *simulation, owner model.HostID, _ model.InstanceID) {
				sim.hosts[owner].down = true
				sim.hosts[otherHost(sim, owner)].down = true
			},
			moved:  true,
			maxGap: time.Second,
		},
		"owner and primary crash, candidates race": {
			cause: func(sim *simulation, owner model.HostID, primary model.InstanceID) {
				sim.hosts[owner].down = true
				for _, h := range sim.hosts {
					h.machine.Timing.TakeoverStagger = 0
				}
				sim.instances[primary].down = true
			},
			promoted: true,
			moved:    true,
			maxGap:   time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(4, 3)
			sim.copyAll()
			sim.run(15 * time.Second)
			owner := sim.store.rows["d0"].Owner
			before := sim.databaseView(owner, "d0")
			test.cause(sim, owner, before.Primary)
			gap, ok := sim.awaitService("d0", before.Term, 20*time.Second)
			if !ok {
				t.Fatalf("got no service after %v, want it", gap)
			}
			t.Logf("gap %v", gap)
			if gap > test.maxGap {
				t.Errorf("got gap %v, want at most %v", gap, test.maxGap)
			}
			sim.run(time.Second)
			row := sim.store.rows["d0"]
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

// nodeNames returns the names of all nodes that messages are sent to.
func (sim *simulation) nodeNames() []string {
	names := []string{"store"}
	for _, id := range sim.hostIDs() {
		names = append(names, string(id))
	}
	for _, id := range sim.instanceIDs() {
		names = append(names, string(id))
	}
	return names
}

// TestBestReplicaIsPromoted crashes a primary whose replicas hold different prefixes of its log.
func TestBestReplicaIsPromoted(t *testing.T) {
	tests := map[string]struct {
		lengths [2]int // number of entries that the two replicas hold
		leaving [2]bool
		want    model.InstanceID
	}{
		"the first is ahead":            {lengths: [2]int{50, 10}, want: "d0-1"},
		"the second is ahead":           {lengths: [2]int{10, 50}, want: "d0-2"},
		"the first is empty":            {lengths: [2]int{0, 50}, want: "d0-2"},
		"equal, the first leaves":       {lengths: [2]int{50, 50}, leaving: [2]bool{true, false}, want: "d0-2"},
		"the first leaves but is ahead": {lengths: [2]int{50, 49}, leaving: [2]bool{true, false}, want: "d0-1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(4, 1)
			sim.run(settleTime)
			row := sim.store.rows["d0"]
			primary := sim.instances["d0-0"]
			for value := range 60 {
				primary.write(row.Term, value)
			}
			for i, id := range []model.InstanceID{"d0-1", "d0-2"} {
				sim.instances[id].replicate(test.lengths[i])
				sim.instances[id].leaving = test.leaving[i]
			}
			primary.down = true
			sim.copyAll()
			if _, ok := sim.awaitService("d0", row.Term, 5*time.Second); !ok {
				t.Fatal("got no service, want it")
			}
			sim.run(100 * time.Millisecond)
			if got := sim.store.rows["d0"].Primary; got != test.want {
				t.Errorf("got primary %s, want %s", got, test.want)
			}
		})
	}
}

// TestOldPrimaryComesBack checks that a former primary returns as a replica and drops entries that no other instance has.
func TestOldPrimaryComesBack(t *testing.T) {
	sim := newSimulation(4, 1)
	sim.copyAll()
	sim.run(settleTime)
	row := sim.store.rows["d0"]
	old := sim.instances["d0-0"]
	old.write(row.Term, 1)
	sim.run(time.Second)
	sim.isolate("d0-0")
	old.write(row.Term, 2)
	if _, ok := sim.awaitService("d0", row.Term, 5*time.Second); !ok {
		t.Fatal("got no service, want it")
	}
	if _, ok := old.write(row.Term, 3); !ok {
		t.Fatal("got the isolated primary fenced, want it to accept writes in the old term")
	}
	sim.heal()
	sim.run(2 * time.Second)
	if _, ok := old.write(row.Term, 4); ok {
		t.Error("got a write in the old term, want it refused")
	}
	if old.role != model.RoleReplica || old.holds(2) || old.holds(3) || !old.holds(1) {
		t.Errorf("got role %s and log %v, want a replica with only the first write", old.role, old.log)
	}
}

// TestNoFlapping checks that a short fault that recurs for a minute causes few changes of the term.
func TestNoFlapping(t *testing.T) {
	tests := map[string]struct {
		setFault func(sim *simulation, owner model.HostID, primary model.InstanceID, faulty bool)
		maxTerms model.Term
	}{
		"primary is silent half of the time": {
			setFault: func(sim *simulation, _ model.HostID, primary model.InstanceID, faulty bool) {
				sim.instances[primary].down = faulty
			},
			maxTerms: 2,
		},
		"owner is paused half of the time": {
			setFault: func(sim *simulation, owner model.HostID, _ model.InstanceID, faulty bool) {
				if sim.hosts[owner].paused = faulty; !faulty {
					sim.resume(owner)
				}
			},
			maxTerms: 8,
		},
		"two hosts do not reach each other half of the time": {
			setFault: func(sim *simulation, owner model.HostID, _ model.InstanceID, faulty bool) {
				sim.cutLink(string(owner), string(otherHost(sim, owner)))
				if !faulty {
					sim.heal()
				}
			},
			maxTerms: 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(4, 1)
			sim.copyAll()
			sim.run(15 * time.Second)
			row := sim.store.rows["d0"]
			faulty := false
			sim.scheduleEvery(400*time.Millisecond, func() {
				faulty = !faulty
				test.setFault(sim, row.Owner, row.Primary, faulty)
			})
			sim.run(time.Minute)
			if got := sim.store.rows["d0"].Term - row.Term; got > test.maxTerms {
				t.Errorf("got %d changes of the term in a minute, want at most %d", got, test.maxTerms)
			}
		})
	}
}
