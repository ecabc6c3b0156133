package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// policyOf returns a policy with the version.
func policyOf(version model.Version) *config.Policy {
	return &config.Policy{Version: version}
}

// headerOf returns a header with the version.
func headerOf(version model.Version) *Header {
	return &Header{Version: version, Object: "o"}
}

// fetched returns the result of a successful fetch of the version.
func fetched(version model.Version) Fetched {
	return Fetched{Policy: policyOf(version)}
}

// errFetch is the error of a failed fetch.
var errFetch = errors.New("no answer")

func TestMachine(t *testing.T) {
	failed := Fetched{Err: errFetch}
	tests := map[string]struct {
		events []Event // 100 ms apart
		want   string  // version in force or none, and the last requested fetch
	}{
		"no information":                                        {[]Event{Ticked{}}, "none, no fetch"},
		"row missing":                                           {[]Event{RowSeen{}}, "0, no fetch"},
		"row missing, peer has a newer version":                 {[]Event{PeerSeen{"a", 3}, fetched(3), RowSeen{}}, "3, host a"},
		"row, then its object":                                  {[]Event{RowSeen{headerOf(2)}, fetched(2)}, "2, object 2"},
		"row, object not fetched yet":                           {[]Event{RowSeen{headerOf(2)}}, "none, object 2"},
		"same row again":                                        {[]Event{RowSeen{headerOf(2)}, fetched(2), RowSeen{headerOf(2)}}, "2, object 2"},
		"newer row":                                             {[]Event{RowSeen{headerOf(2)}, fetched(2), RowSeen{headerOf(3)}, fetched(3)}, "3, object 3"},
		"newer row during a fetch":                              {[]Event{RowSeen{headerOf(1)}, fetched(1), RowSeen{headerOf(2)}, RowSeen{headerOf(3)}, fetched(2)}, "2, object 3"},
		"newer row during the first fetch":                      {[]Event{RowSeen{headerOf(2)}, RowSeen{headerOf(3)}, fetched(2)}, "none, object 3"},
		"older row":                                             {[]Event{RowSeen{headerOf(3)}, fetched(3), RowSeen{headerOf(2)}}, "3, object 3"},
		"row deleted":                                           {[]Event{RowSeen{headerOf(3)}, fetched(3), RowSeen{}}, "3, object 3"},
		"two failed fetches, then a successful one":             {[]Event{PeerSeen{"a", 2}, failed, RowSeen{headerOf(2)}, failed, Ticked{}, Ticked{}, Ticked{}, Ticked{}, fetched(2)}, "2, object 2"},
		"object store down, peer tried next":                    {[]Event{RowSeen{headerOf(2)}, PeerSeen{"a", 2}, failed, Ticked{}, Ticked{}}, "none, host a"},
		"no retry before the delay":                             {[]Event{RowSeen{headerOf(2)}, PeerSeen{"a", 2}, failed, Ticked{}}, "none, object 2"},
		"platform outage at startup, older version fetched":     {[]Event{PeerSeen{"a", 4}, PeerSeen{"b", 5}, fetched(4)}, "none, host b"},
		"platform outage at startup, newest version fetched":    {[]Event{PeerSeen{"a", 4}, PeerSeen{"b", 5}, fetched(4), fetched(5)}, "5, host b"},
		"platform outage at startup, peer has none":             {[]Event{PeerSeen{"a", 0}, failed}, "none, host a"},
		"platform outage at startup, peer has the built-in one": {[]Event{PeerSeen{"a", 0}, fetched(0)}, "0, host a"},
		"platform outage at startup, newest peer gone":          {[]Event{PeerSeen{"a", 4}, PeerSeen{"b", 5}, fetched(4), PeerGone{"b"}, failed, Ticked{}, Ticked{}, fetched(4)}, "4, host a"},
		"peer gone":                                             {[]Event{PeerSeen{"a", 4}, failed, PeerGone{"a"}, Ticked{}, Ticked{}, Ticked{}}, "none, host a"},
		"peer with an older version":                            {[]Event{RowSeen{headerOf(3)}, fetched(3), PeerSeen{"a", 2}}, "3, object 3"},
		"peer with a newer version":                             {[]Event{RowSeen{headerOf(3)}, fetched(3), PeerSeen{"a", 4}, fetched(4)}, "4, host a"},
		"late fetch result with an older version":               {[]Event{PeerSeen{"a", 4}, Accepted{policyOf(5)}, fetched(4)}, "5, host a"},
		"change accepted on this host":                          {[]Event{RowSeen{}, Accepted{policyOf(1)}}, "1, no fetch"},
		"older change accepted on this host":                    {[]Event{Accepted{policyOf(2)}, Accepted{policyOf(1)}}, "2, no fetch"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			machine := New()
			now := time.Unix(0, 0)
			fetch := "no fetch"
			for _, event := range test.events {
				now = now.Add(100 * time.Millisecond)
				if action := machine.Handle(now, event).Fetch; action != nil {
					fetch = action.describe()
				}
			}
			got := "none, " + fetch
			if policy := machine.InForce(); policy != nil {
				got = fmt.Sprintf("%d, %s", policy.Version, fetch)
			}
			if got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// describe returns the version of the object, or the peer, that the action fetches.
func (a Action) describe() string {
	if a.Header != nil {
		return fmt.Sprintf("object %d", a.Header.Version)
	}
	return a.Source()
}

func TestRetryDelays(t *testing.T) {
	const step = 100 * time.Millisecond
	machine := New()
	now := time.Unix(0, 0)
	action := machine.Handle(now, RowSeen{headerOf(2)}).Fetch
	var got []time.Duration
	for len(got) < 6 {
		if action == nil {
			t.Fatalf("got no fetch after delays of %v", got)
		}
		began := now
		action = machine.Handle(now, Fetched{Err: errFetch}).Fetch
		for ; action == nil && now.Sub(began) < time.Minute; action = machine.Handle(now, Ticked{}).Fetch {
			now = now.Add(step)
		}
		got = append(got, now.Sub(began))
	}
	want := []time.Duration{2 * step, 4 * step, 8 * step, 16 * step, 20 * step, 20 * step}
	if !slices.Equal(got, want) {
		t.Errorf("got delays %v, want %v", got, want)
	}
}

func TestStale(t *testing.T) {
	machine := New()
	machine.Handle(time.Unix(1, 0), Accepted{policyOf(3)})
	want := Stale{Stored: 2, InForce: 3}
	if got := machine.Handle(time.Unix(2, 0), RowSeen{headerOf(2)}).Stale; got == nil || *got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := machine.Handle(time.Unix(3, 0), RowSeen{headerOf(2)}).Stale; got != nil {
		t.Errorf("got %v a second time, want it once", got)
	}
}

// TestNeverReverts checks over random events that the version in force never decreases.
func TestNeverReverts(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		machine := New()
		var highest model.Version
		for step := range 300 {
			machine.Handle(time.Unix(0, int64(step)*int64(time.Millisecond)*50), randomEvent(random))
			policy := machine.InForce()
			if policy == nil {
				continue
			}
			if policy.Version < highest {
				t.Fatalf("seed %d, step %d: got version %d after %d", seed, step, policy.Version, highest)
			}
			highest = policy.Version
		}
		if highest == 0 {
			t.Errorf("seed %d: got no version in force, want one", seed)
		}
	}
}

// randomEvent returns a random event.
func randomEvent(random *rand.Rand) Event {
	version := model.Version(random.IntN(20))
	host := model.HostID(rune('a' + random.IntN(4)))
	switch random.IntN(8) {
	case 0:
		return RowSeen{}
	case 1:
		return RowSeen{headerOf(version)}
	case 2:
		return PeerSeen{host, version}
	case 3:
		return PeerGone{host}
	case 4:
		return Accepted{policyOf(version)}
	case 5:
		return Fetched{Err: errFetch}
	case 6:
		return Ticked{}
	default:
		return fetched(version)
	}
}
