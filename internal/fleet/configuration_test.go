package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
)

// maxInForceDelay is the time in which an accepted configuration must be in force everywhere.
const maxInForceDelay = 2 * time.Second

// fullMeshHosts is the number of hosts up to which each hears from all others.
const fullMeshHosts = 6

// destination names the machine that a fetch goes to.
func (f FetchConfiguration) destination() string {
	if f.Fetch.Header != nil {
		return "store"
	}
	return string(f.Host.ID)
}

// fetchConfiguration answers a fetch.
func (w *simulation) fetchConfiguration(action FetchConfiguration) Event {
	fetched := ConfigurationFetched{Action: action.Fetch, Err: errLost}
	if action.Fetch.Header != nil {
		if !w.store.down && !w.store.objectsDown {
			fetched.Policy, fetched.Err = &config.Policy{Version: action.Fetch.Header.Version}, nil
		}
		return fetched
	}
	peer := w.hosts[action.Host.ID]
	if action.Host.Address == "" {
		return fetched // nobody told where the host is
	}
	if policy := peer.machine.rollout.InForce(); policy != nil && !peer.down {
		fetched.Policy, fetched.Err = policy, nil
	}
	return fetched
}

// commitConfiguration writes the next version of the configuration's row.
func (w *simulation) commitConfiguration() model.Version {
	next := model.Version(1)
	if w.store.header != nil {
		next = w.store.header.Version + 1
	}
	w.store.revision++
	w.store.headerRevision = w.store.revision
	w.store.header = &rollout.Header{Version: next}
	return next
}

// acceptConfiguration commits the next version as an operator's change at the host.
func (w *simulation) acceptConfiguration(host model.HostID) model.Version {
	version := w.commitConfiguration()
	h := w.hosts[host]
	w.deliver(h, h.machine, PolicyAccepted{Policy: &config.Policy{Version: version}})
	return version
}

// versionInForce returns the version in force on a host, and whether there is one.
func (w *simulation) versionInForce(host model.HostID) (model.Version, bool) {
	policy := w.hosts[host].machine.rollout.InForce()
	if policy == nil {
		return 0, false
	}
	return policy.Version, true
}

// awaitVersion waits until every running host has the version and returns how long each took.
func (w *simulation) awaitVersion(version model.Version, limit time.Duration) []time.Duration {
	start := w.now
	seen := map[model.HostID]bool{}
	var delays []time.Duration
	for w.now.Sub(start) < limit {
		for id, h := range w.hosts {
			got, ready := w.versionInForce(id)
			if !seen[id] && !h.down && ready && got >= version {
				seen[id] = true
				delays = append(delays, w.now.Sub(start))
			}
		}
		w.run(time.Millisecond)
	}
	slices.Sort(delays)
	return delays
}

func TestConfigurationInForce(t *testing.T) {
	tests := map[string]struct {
		hosts int
		cause func(w *simulation)
	}{
		"4 hosts":                         {hosts: 4},
		"16 hosts":                        {hosts: 16},
		"4 hosts, store down":             {hosts: 4, cause: func(w *simulation) { w.store.down = true }},
		"16 hosts, store down":            {hosts: 16, cause: func(w *simulation) { w.store.down = true }},
		"16 hosts, object store down":     {hosts: 16, cause: func(w *simulation) { w.store.objectsDown = true }},
		"4 hosts, accepting host is lost": {hosts: 4, cause: func(w *simulation) { w.isolate("h0") }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var all []time.Duration
			for seed := range uint64(10) {
				w := newSimulation(test.hosts, 1)
				random := rand.New(rand.NewPCG(seed, 7))
				w.delay = func() time.Duration {
					return time.Millisecond + time.Duration(random.Int64N(int64(10*time.Millisecond)))
				}
				w.run(settleTime + time.Duration(random.Int64N(int64(time.Second))))
				version := w.acceptConfiguration("h0")
				if test.cause != nil {
					test.cause(w)
				}
				delays := w.awaitVersion(version, maxInForceDelay)
				if len(delays) != test.hosts {
					t.Fatalf("seed %d: got version %d on %d hosts after %v, want %d", seed, version, len(delays), maxInForceDelay, test.hosts)
				}
				all = append(all, delays...)
				w.heal()
				w.store.down, w.store.objectsDown = false, false
				w.run(settleTime)
				for id, known := range w.hosts["h0"].machine.Snapshot().Hosts {
					unheard := test.hosts > fullMeshHosts && known.Configuration == 0
					if known.Configuration != version && !unheard {
						t.Errorf("seed %d: got version %d of %s in the view, want %d", seed, known.Configuration, id, version)
					}
				}
			}
			slices.Sort(all)
			t.Logf("trial in virtual time: median %v, worst %v", all[len(all)/2], all[len(all)-1])
		})
	}
}

func TestConfigurationAtStart(t *testing.T) {
	tests := map[string]struct {
		cause func(w *simulation)
		want  string // version in force on the host that starts
	}{
		"store is up":                       {func(*simulation) {}, "3 true"},
		"table down, peers know":            {func(w *simulation) { w.store.down, w.store.listUp = true, true }, "3 true"},
		"table and list down, peers know":   {func(w *simulation) { w.store.down = true }, "3 true"},
		"objects down, peers know":          {func(w *simulation) { w.store.objectsDown = true }, "3 true"},
		"objects down, no peer":             {func(w *simulation) { w.store.objectsDown = true; w.isolateHosts() }, "0 false"},
		"store is down, no peer":            {func(w *simulation) { w.store.down = true; w.isolateHosts() }, "0 false"},
		"store is back":                     {func(w *simulation) { w.store.down = true; w.isolateHosts(); w.run(time.Second); w.store.down = false }, "3 true"},
		"another change at the same moment": {func(w *simulation) { w.acceptConfiguration("h1") }, "4 true"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(4, 1)
			w.run(settleTime)
			for range 3 {
				w.acceptConfiguration("h0")
			}
			w.run(settleTime)
			w.startHost("h3")
			test.cause(w)
			w.run(settleTime)
			version, ready := w.versionInForce("h3")
			if got := fmt.Sprint(version, ready); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// isolateHosts cuts the hosts off from each other, but not from the store.
func (w *simulation) isolateHosts() {
	for from := range w.hosts {
		for to := range w.hosts {
			w.cutLinks[[2]string{string(from), string(to)}] = true
		}
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 3))
		w := newSimulation(4, 1)
		highest := map[*Machine]model.Version{}
		for range 60 {
			w.injectFault(random)
			w.run(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
			for id, h := range w.hosts {
				version, _ := w.versionInForce(id)
				if version < highest[h.machine] {
					t.Fatalf("seed %d: got version %d on %s after %d", seed, version, id, highest[h.machine])
				}
				highest[h.machine] = version
			}
		}
		w.heal()
		w.store.down, w.store.objectsDown = false, false
		w.run(2 * settleTime)
		for id := range w.hosts {
			if version, ready := w.versionInForce(id); !ready || w.store.header != nil && version != w.store.header.Version {
				t.Errorf("seed %d: got version %d (%v) on %s in the end, want the newest", seed, version, ready, id)
			}
		}
	}
}

// injectFault causes one random fault or change.
func (w *simulation) injectFault(random *rand.Rand) {
	host := model.HostID(fmt.Sprintf("h%d", random.IntN(4)))
	switch random.IntN(7) {
	case 0, 1:
		if !w.store.down {
			w.acceptConfiguration(host)
		}
	case 2:
		w.startHost(host)
	case 3:
		w.isolate(string(host))
	case 4:
		w.heal()
	case 5:
		w.store.down = !w.store.down
	case 6:
		w.store.objectsDown = !w.store.objectsDown
	}
}
