package dispatch

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// withRetries returns the flows with callers that retry immediately, up to five attempts.
func withRetries(flows []flow) []flow {
	for i := range flows {
		flows[i].maxAttempts = 5
	}
	return flows
}

// slowPeriod returns a slowdown by the factor between the two times.
func slowPeriod(from, to time.Duration, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return factor
		}
		return 1
	}
}

// occupiedConnections makes a former owner hold the given number of connections until the given time.
func occupiedConnections(connections int, until time.Duration) func(*fakeInstance) {
	return func(fake *fakeInstance) {
		fake.open = connections
		time.AfterFunc(until, func() {
			fake.mutex.Lock()
			defer fake.mutex.Unlock()
			fake.open -= connections
		})
	}
}

func TestRecovery(t *testing.T) {
	tests := map[string]struct {
		load load
		want map[string]float64 // minimum goodput by flow after the warm-up, as a share of capacity
	}{
		"retry storm after an outage": {
			load: load{flows: withRetries(mix(2)), slowdown: slowPeriod(2*time.Second, 7*time.Second, 1000), warmUp: 10 * time.Second},
			want: map[string]float64{"one": 0.4 * 0.96, "two": 0.25 * 0.95, "three": 0.05 * 0.95},
		},
		"temporary slowdown": {
			load: load{flows: mix(1.5), slowdown: slowPeriod(2*time.Second, 7*time.Second, 20), warmUp: 10 * time.Second},
			want: map[string]float64{"one": 0.3 * 0.96, "two": 0.25 * 0.95, "three": 0.05 * 0.95},
		},
		"takeover under overload while the former owner holds all connections": {
			load: load{flows: flooded("three"), setUp: occupiedConnections(15, 2*time.Second), warmUp: 3 * time.Second},
			want: map[string]float64{"one": 0.2 * 0.96, "one-other": 0.1 * 0.96, "two": 0.25 * 0.95},
		},
		"takeover while the former owner holds all connections but one": {
			load: load{flows: flooded("one"), setUp: occupiedConnections(14, time.Minute), warmUp: 3 * time.Second},
			want: map[string]float64{"two": 0.25 * 0.95 / 2, "three": 0.05 * 0.95 / 2},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.load.policy = loadPolicies["FairShare"]
			tallies := test.load.run(t)
			logTallies(t, "recovery", name, test.load.flows, tallies)
			for flow, want := range test.want {
				if got := tallies[flow].goodputShare(); got < want*0.97 { // since a Poisson stream offers a few percent less or more
					t.Errorf("got %.3f of capacity for %s, want at least %.3f", got, flow, want)
				}
			}
			minGoodput := 0.95
			if name == "takeover while the former owner holds all connections but one" {
				minGoodput /= 2
			}
			if got := totalGoodput(tallies); got < minGoodput {
				t.Errorf("got goodput %.3f, want at least %.3f", got, minGoodput)
			}
		})
	}
}

// oneKindFlood returns work of one rank in which one kind offers five times the capacity, one has a floor and one has none.
func oneKindFlood(rank model.Rank) []flow {
	return []flow{
		{name: "flood", rank: rank, kind: "registration", floor: 15, share: 5, sessions: loadSessions},
		{name: "floor", rank: rank, kind: "payment", floor: 20, share: 0.3, sessions: loadSessions},
		{name: "none", rank: rank, kind: "return", share: 0.3, sessions: loadSessions},
	}
}

func TestOneKindFloods(t *testing.T) {
	tests := map[string]struct {
		rank model.Rank
	}{
		"in rank one":   {rank: 1},
		"in rank three": {rank: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := load{policy: loadPolicies["FairShare"], flows: oneKindFlood(test.rank)}
			tallies := l.run(t)
			logTallies(t, name, "FairShare", l.flows, tallies)
			for flow, want := range map[string]float64{"floor": 0.3 * 0.95, "none": 65.0 / 3 / 100 * 0.95} {
				if got := tallies[flow].goodputShare(); got < want*0.97 {
					t.Errorf("got %.3f of capacity for %s, want at least %.3f", got, flow, want)
				}
			}
		})
	}
}

func TestOneSessionFloods(t *testing.T) {
	flows := []flow{
		{name: "flood", rank: 2, kind: "roster", share: 5, sessions: 1},
		{name: "others", rank: 2, kind: "roster", share: 0.5, sessions: loadSessions},
	}
	l := load{policy: loadPolicies["FairShare"], flows: flows}
	tallies := l.run(t)
	logTallies(t, "one session", "FairShare", flows, tallies)
	if got, want := tallies["others"].answeredShare(), 0.99; got < want {
		t.Errorf("got %.3f of the other sessions' work, want at least %.3f", got, want)
	}
}
