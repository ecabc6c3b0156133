package fleet

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// TestKeeps causes faults after which no owner and no primary may change.
func TestKeeps(t *testing.T) {
	const outage = 10 * time.Minute
	const balanced = 15 * time.Second
	tests := map[string]struct {
		cause  func(w *simulation, owner model.HostID, primary model.InstanceID)
		length time.Duration
	}{
		"nothing":       {cause: func(*simulation, model.HostID, model.InstanceID) {}, length: time.Minute},
		"store is down": {cause: func(w *simulation, _ model.HostID, _ model.InstanceID) { w.store.down = true }, length: outage},
		"store is slow": {cause: func(w *simulation, _ model.HostID, _ model.InstanceID) { w.storeDelay = 3 * time.Second }, length: time.Minute},
		"list is empty": {cause: func(w *simulation, _ model.HostID, _ model.InstanceID) { w.hideHosts(true) }, length: 3 * time.Second},
		"store goes and comes": {
			cause: func(w *simulation, _ model.HostID, _ model.InstanceID) {
				w.scheduleEvery(700*time.Millisecond, func() { w.store.down = !w.store.down })
			},
			length: time.Minute,
		},
		"another host is isolated": {
			cause:  func(w *simulation, owner model.HostID, _ model.InstanceID) { w.isolate(string(otherHost(w, owner))) },
			length: time.Minute,
		},
		"another host reaches no instance": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) {
				for _, id := range w.instanceIDs() {
					w.cutLinks[[2]string{string(otherHost(w, owner)), string(id)}] = true
				}
			},
			length: time.Minute,
		},
		"another host does not reach the owner": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) {
				w.cutLinks[[2]string{string(otherHost(w, owner)), string(owner)}] = true
				w.cutLinks[[2]string{string(owner), string(otherHost(w, owner))}] = true
			},
			length: time.Minute,
		},
		"half of the hosts do not reach the primary": {
			cause: func(w *simulation, owner model.HostID, primary model.InstanceID) {
				cut := 0
				for _, id := range w.hostIDs() {
					if id != owner && cut < 2 {
						w.cutLinks[[2]string{string(id), string(primary)}] = true
						cut++
					}
				}
			},
			length: time.Minute,
		},
		"a replica crashes": {
			cause:  func(w *simulation, _ model.HostID, primary model.InstanceID) { otherInstance(w, primary).down = true },
			length: time.Minute,
		},
		"the owner is paused for a moment": {
			cause: func(w *simulation, owner model.HostID, _ model.InstanceID) {
				w.hosts[owner].paused = true
				w.schedule(150*time.Millisecond, func() { w.resume(owner) })
			},
			length: 10 * time.Second,
		},
		"the primary is silent for a moment": {
			cause: func(w *simulation, _ model.HostID, primary model.InstanceID) {
				w.instances[primary].down = true
				w.schedule(100*time.Millisecond, func() { w.instances[primary].down = false })
			},
			length: 10 * time.Second,
		},
		"traffic fails on a healthy primary": {
			cause: func(w *simulation, owner model.HostID, primary model.InstanceID) {
				h := w.hosts[owner]
				w.scheduleEvery(20*time.Millisecond, func() { w.deliver(h, h.machine, InstanceFailed{Instance: primary}) })
			},
			length: 10 * time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(4, 3)
			w.copyAll()
			w.run(balanced)
			before := w.store.rows["d0"]
			writes := w.store.writes
			test.cause(w, before.Owner, before.Primary)
			w.run(test.length)
			if got := w.servingHosts("d0"); len(got) != 1 || got[0] != before.Owner {
				t.Errorf("got it served by %v, want %s", got, before.Owner)
			}
			w.heal()
			w.store.down = false
			w.storeDelay = 0
			w.hideHosts(false)
			w.run(settleTime)
			if got := w.store.rows["d0"]; got.Term != before.Term || got.Owner != before.Owner {
				t.Errorf("got term %d of %s, want it kept in term %d of %s", got.Term, got.Owner, before.Term, before.Owner)
			}
			if name == "nothing" && w.store.writes != writes {
				t.Errorf("got %d writes of the store by an idle fleet, want none", w.store.writes-writes)
			}
		})
	}
}

// otherHost returns a host that is not the given one.
func otherHost(w *simulation, host model.HostID) model.HostID {
	for _, id := range w.hostIDs() {
		if id != host {
			return id
		}
	}
	return ""
}

// otherInstance returns an instance of the first database that is not the given one.
func otherInstance(w *simulation, primary model.InstanceID) *fakeInstance {
	for _, id := range w.instanceIDs() {
		if f := w.instances[id]; f.instance.Database == "d0" && id != primary {
			return f
		}
	}
	return nil
}
