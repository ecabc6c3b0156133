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

// maxInForceDelay is the maximum time from accepting a configuration until it is in force on every host.
const maxInForceDelay = 2 * time.Second

// fullMeshHosts is the maximum size of a fleet in which every host sends heartbeats to every other.
const fullMeshHosts = 6

// destination returns the node that a fetch is sent to.
func (f FetchConfiguration) destination() string {
	if f.Fetch.Header != nil {
		return "store"
	}
	return string(f.Host.ID)
}

// fetchConfiguration returns the result of a fetch.
func (sim *simulation) fetchConfiguration(action FetchConfiguration) Event {
	fetched := ConfigurationFetched{Action: action.Fetch, Err: errLost}
	if action.Fetch.Header != nil {
		if !sim.store.down && !sim.store.objectsDown {
			fetched.Policy, fetched.Err = &config.Policy{Version: action.Fetch.Header.Version}, nil
		}
		return fetched
	}
	peer := sim.hosts[action.Host.ID]
	if action.Host.Address == "" {
		return fetched // no known address
	}
	if policy := peer.machine.rollout.InForce(); policy != nil && !peer.down {
		fetched.Policy, fetched.Err = policy, nil
	}
	return fetched
}

// commitConfiguration writes a row with the next version of the configuration.
func (sim *simulation) commitConfiguration() model.Version {
	next := model.Version(1)
	if sim.store.header != nil {
		next = sim.store.header.Version + 1
	}
	sim.store.revision++
	sim.store.headerRevision = sim.store.revision
	sim.store.header = &rollout.Header{Version: next}
	return next
}

// acceptConfiguration commits the next version and reports it to the host as accepted from an operator.
func (sim *simulation) acceptConfiguration(host model.HostID) model.Version {
	version := sim.commitConfiguration()
	h := sim.hosts[host]
	sim.deliver(h, h.machine, PolicyAccepted{Policy: &config.Policy{Version: version}})
	return version
}

// versionInForce returns the version in force on a host, and whether there is one.
func (sim *simulation) versionInForce(host model.HostID) (model.Version, bool) {
	policy := sim.hosts[host].machine.rollout.InForce()
	if policy == nil {
		return 0, false
	}
	return policy.Version, true
}

// awaitVersion waits until the limit and returns the sorted delays after which running hosts had the version.
func (sim *simulation) awaitVersion(version model.Version, limit time.Duration) []time.Duration {
	start := sim.now
	seen := map[model.HostID]bool{}
	var delays []time.Duration
	for sim.now.Sub(start) < limit {
		for id, h := range sim.hosts {
			got, ready := sim.versionInForce(id)
			if !seen[id] && !h.down && ready && got >= version {
				seen[id] = true
				delays = append(delays, sim.now.Sub(start))
			}
		}
		sim.run(time.Millisecond)
	}
	slices.Sort(delays)
	return delays
}

func TestConfigurationInForce(t *testing.T) {
	tests := map[string]struct {
		hosts int
		cause func(sim *simulation)
	}{
		"4 hosts":                             {hosts: 4},
		"16 hosts":                            {hosts: 16},
		"4 hosts, store down":                 {hosts: 4, cause: func(sim *simulation) { sim.store.down = true }},
		"16 hosts, store down":                {hosts: 16, cause: func(sim *simulation) { sim.store.down = true }},
		"16 hosts, object store down":         {hosts: 16, cause: func(sim *simulation) { sim.store.objectsDown = true }},
		"4 hosts, accepting host is isolated": {hosts: 4, cause: func(sim *simulation) { sim.isolate("h0") }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var all []time.Duration
			for seed := range uint64(10) {
				sim := newSimulation(test.hosts, 1)
				random := rand.New(rand.NewPCG(seed, 7))
				sim.delay = func() time.Duration {
					return time.Millisecond + time.Duration(random.Int64N(int64(10*time.Millisecond)))
				}
				sim.run(settleTime + time.Duration(random.Int64N(int64(time.Second))))
				version := sim.acceptConfiguration("h0")
				if test.cause != nil {
					test.cause(sim)
				}
				delays := sim.awaitVersion(version, maxInForceDelay)
				if len(delays) != test.hosts {
					t.Fatalf("seed %d: got version %d on %d hosts after %v, want %d", seed, version, len(delays), maxInForceDelay, test.hosts)
				}
				all = append(all, delays...)
				sim.heal()
				sim.store.down, sim.store.objectsDown = false, false
				sim.run(settleTime)
				for id, known := range sim.hosts["h0"].machine.Snapshot().Hosts {
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
		cause func(sim *simulation)
		want  string // version in force on the host that starts, and whether there is one
	}{
		"store up": {func(*simulation) {}, "3 true"},
		"store down but list up, peers reachable": {func(sim *simulation) { sim.store.down, sim.store.listUp = true, true }, "3 true"},
		"store and list down, peers reachable":    {func(sim *simulation) { sim.store.down = true }, "3 true"},
		"object store down, peers reachable":      {func(sim *simulation) { sim.store.objectsDown = true }, "3 true"},
		"object store down, no peer reachable":    {func(sim *simulation) { sim.store.objectsDown = true; sim.isolateHosts() }, "0 false"},
		"store and list down, no peer reachable":  {func(sim *simulation) { sim.store.down = true; sim.isolateHosts() }, "0 false"},
		"store comes back, no peer reachable": {func(sim *simulation) {
			sim.store.down = true
			sim.isolateHosts()
			sim.run(time.Second)
			sim.store.down = false
		}, "3 true"},
		"another version accepted during the start": {func(sim *simulation) { sim.acceptConfiguration("h1") }, "4 true"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(4, 1)
			sim.run(settleTime)
			for range 3 {
				sim.acceptConfiguration("h0")
			}
			sim.run(settleTime)
			sim.startHost("h3")
			test.cause(sim)
			sim.run(settleTime)
			version, ready := sim.versionInForce("h3")
			if got := fmt.Sprint(version, ready); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// isolateHosts cuts the hosts off from each other, but not from the store.
func (sim *simulation) isolateHosts() {
	for from := range sim.hosts {
		for to := range sim.hosts {
			sim.cutLinks[[2]string{string(from), string(to)}] = true
		}
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 3))
		sim := newSimulation(4, 1)
		highest := map[*Machine]model.Version{}
		for range 60 {
			sim.injectFault(random)
			sim.run(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
			for id, h := range sim.hosts {
				version, _ := sim.versionInForce(id)
				if version < highest[h.machine] {
					t.Fatalf("seed %d: got version %d on %s after %d", seed, version, id, highest[h.machine])
				}
				highest[h.machine] = version
			}
		}
		sim.heal()
		sim.store.down, sim.store.objectsDown = false, false
		sim.run(2 * settleTime)
		for id := range sim.hosts {
			if version, ready := sim.versionInForce(id); !ready || sim.store.header != nil && version != sim.store.header.Version {
				t.Errorf("seed %d: got version %d (%v) on %s in the end, want the newest", seed, version, ready, id)
			}
		}
	}
}

// injectFault applies one random fault or change.
func (sim *simulation) injectFault(random *rand.Rand) {
	host := model.HostID(fmt.Sprintf("h%d", random.IntN(4)))
	switch random.IntN(7) {
	case 0, 1:
		if !sim.store.down {
			sim.acceptConfiguration(host)
		}
	case 2:
		sim.startHost(host)
	case 3:
		sim.isolate(string(host))
	case 4:
		sim.heal()
	case 5:
		sim.store.down = !sim.store.down
	case 6:
		sim.store.objectsDown = !sim.store.objectsDown
	}
}
