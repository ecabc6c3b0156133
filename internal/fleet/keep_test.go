package fleet

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// TestKeeps checks that faults which need no takeover leave the owner and primary unchanged.
func TestKeeps(t *testing.T) {
	const outage = 10 * time.Minute
	const balanceTime = 15 * time.Second // time until every database has its preferred owner
	tests := map[string]struct {
		cause  func(sim *simulation, owner model.HostID, primary model.InstanceID)
		length time.Duration
	}{
		"no fault":               {cause: func(*simulation, model.HostID, model.InstanceID) {}, length: time.Minute},
		"store is down":          {cause: func(sim *simulation, _ model.HostID, _ model.InstanceID) { sim.store.down = true }, length: outage},
		"store is slow":          {cause: func(sim *simulation, _ model.HostID, _ model.InstanceID) { sim.storeDelay = 3 * time.Second }, length: time.Minute},
		"list of hosts is empty": {cause: func(sim *simulation, _ model.HostID, _ model.InstanceID) { sim.hideHosts(true) }, length: 3 * time.Second},
		"store is down half of the time": {
			cause: func(sim *simulation, _ model.HostID, _ model.InstanceID) {
				sim.scheduleEvery(700*time.Millisecond, func() { sim.store.down = !sim.store.down })
			},
			length: time.Minute,
		},
		"another host is isolated": {
			cause: func(sim *simulation, owner model.HostID, _ model.InstanceID) {
				sim.isolate(string(otherHost(sim, owner)))
			},
			length: time.Minute,
		},
		"another host reaches no instance": {
			cause: func(sim *simulation, owner model.HostID, _ model.InstanceID) {
				for _, id := range sim.instanceIDs() {
					sim.cutLinks[[2]string{string(otherHost(sim, owner)), string(id)}] = true
				}
			},
			length: time.Minute,
		},
		"another host does not reach the owner": {
			cause: func(sim *simulation, owner model.HostID, _ model.InstanceID) {
				sim.cutLinks[[2]string{string(otherHost(sim, owner)), string(owner)}] = true
				sim.cutLinks[[2]string{string(owner), string(otherHost(sim, owner))}] = true
			},
			length: time.Minute,
		},
		"half of the hosts do not reach the primary": {
			cause: func(sim *simulation, owner model.HostID, primary model.InstanceID) {
				cut := 0
				for _, id := range sim.hostIDs() {
					if id != owner && cut < 2 {
						sim.cutLinks[[2]string{string(id), string(primary)}] = true
						cut++
					}
				}
			},
			length: time.Minute,
		},
		"a replica crashes": {
			cause: func(sim *simulation, _ model.HostID, primary model.InstanceID) {
				otherInstance(sim, primary).down = true
			},
			length: time.Minute,
		},
		"the owner is paused for a moment": {
			cause: func(sim *simulation, owner model.HostID, _ model.InstanceID) {
				sim.hosts[owner].paused = true
				sim.schedule(150*time.Millisecond, func() { sim.resume(owner) })
			},
			length: 10 * time.Second,
		},
		"the primary is silent for a moment": {
			cause: func(sim *simulation, _ model.HostID, primary model.InstanceID) {
				sim.instances[primary].down = true
				sim.schedule(100*time.Millisecond, func() { sim.instances[primary].down = false })
			},
			length: 10 * time.Second,
		},
		"traffic fails on a healthy primary": {
			cause: func(sim *simulation, owner model.HostID, primary model.InstanceID) {
				h := sim.hosts[owner]
				sim.scheduleEvery(20*time.Millisecond, func() { sim.deliver(h, h.machine, InstanceFailed{Instance: primary}) })
			},
			length: 10 * time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(4, 3)
			sim.copyAll()
			sim.run(balanceTime)
			before := sim.store.rows["d0"]
			writes := sim.store.writes
			test.cause(sim, before.Owner, before.Primary)
			sim.run(test.length)
			if got := sim.servingHosts("d0"); len(got) != 1 || got[0] != before.Owner {
				t.Errorf("got database served by %v, want %s", got, before.Owner)
			}
			sim.heal()
			sim.store.down = false
			sim.storeDelay = 0
			sim.hideHosts(false)
			sim.run(settleTime)
			if got := sim.store.rows["d0"]; got.Term != before.Term || got.Owner != before.Owner {
				t.Errorf("got term %d of %s, want it unchanged in term %d of %s", got.Term, got.Owner, before.Term, before.Owner)
			}
			if name == "no fault" && sim.store.writes != writes {
				t.Errorf("got %d writes to the store by an idle fleet, want none", sim.store.writes-writes)
			}
		})
	}
}

// otherHost returns a host other than the given one.
func otherHost(sim *simulation, host model.HostID) model.HostID {
	for _, id := range sim.hostIDs() {
		if id != host {
			return id
		}
	}
	return ""
}

// otherInstance returns an instance of the first database other than the given one.
func otherInstance(sim *simulation, primary model.InstanceID) *fakeInstance {
	for _, id := range sim.instanceIDs() {
		if f := sim.instances[id]; f.instance.Database == "d0" && id != primary {
			return f
		}
	}
	return nil
}
