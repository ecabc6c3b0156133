package failover

import (
	"slices"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// start is the time at which each test starts.
var start = time.Unix(1000, 0)

// after returns the time some milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// threeMembers are the members of a database whose directory entries name the first as primary.
var threeMembers = []Member{{Instance: "a", ClaimsPrimary: true}, {Instance: "b"}, {Instance: "c"}}

// leading returns the health of an instance that proved at the given time that it is the primary.
func leading(id model.InstanceID, term model.Term, at time.Time) Health {
	return Health{Instance: id, Term: term, LastProof: at}
}

func TestUpdatePrimary(t *testing.T) {
	silentA := leading("a", 1, after(0))
	silentA.SilentSince = after(100)
	refusedA := leading("a", 1, after(0))
	refusedA.LastRefusal = after(100)
	tests := map[string]struct {
		members   []Member
		promotion Promotion
		health    []Health
		now       time.Time
		want      model.InstanceID
		state     State
	}{
		"no information":                   {now: after(0), state: Unknown},
		"directory entry":                  {members: threeMembers, now: after(0), want: "a", state: Unknown},
		"proof":                            {members: threeMembers, health: []Health{leading("a", 1, after(0))}, now: after(10), want: "a", state: Leading},
		"proof overrides the directory":    {members: threeMembers, health: []Health{leading("b", 2, after(0))}, now: after(10), want: "b", state: Leading},
		"newest term among proofs":         {members: threeMembers, health: []Health{leading("a", 1, after(9)), leading("b", 2, after(0))}, now: after(10), want: "b", state: Leading},
		"silent for less than the timeout": {members: threeMembers, health: []Health{silentA}, now: after(300), want: "a", state: Unknown},
		"silent":                           {members: threeMembers, health: []Health{silentA}, now: after(700), want: "a", state: Silent},
		"primary denies being primary":     {members: threeMembers, health: []Health{refusedA}, now: after(200), state: Unknown},
		"promotion":                        {members: threeMembers, health: []Health{refusedA}, promotion: Promotion{Instance: "b", Token: 1}, now: after(200), want: "b", state: Unknown},
		"proof overrides a promotion":      {members: threeMembers, health: []Health{leading("c", 3, after(150))}, promotion: Promotion{Instance: "b", Token: 1}, now: after(200), want: "c", state: Leading},
		"primary not in the directory":     {members: []Member{{Instance: "b"}}, now: after(0), state: Unknown},
		"old proof without a refusal":      {members: threeMembers, health: []Health{leading("a", 1, after(0))}, now: after(5000), want: "a", state: Leading},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			monitor := New(DefaultTiming())
			monitor.RecordPromotion(after(50), test.promotion)
			health := make(map[model.InstanceID]Health)
			for _, h := range test.health {
				health[h.Instance] = h
			}
			monitor.UpdatePrimary(after(0), test.members, health)
			monitor.UpdatePrimary(test.now, test.members, health)
			if got := monitor.Observation(); got.Instance != test.want || got.State != test.state {
				t.Errorf("got %q %s, want %q %s", got.Instance, got.State, test.want, test.state)
			}
		})
	}
}

// observed is what one host observes of the primary "a".
type observed struct {
	state State
	since int // milliseconds after start
}

func TestDecide(t *testing.T) {
	hosts := []model.HostID{"h1", "h2", "h3", "h4"}
	leaving := []Member{{Instance: "a", ClaimsPrimary: true, Leaving: true}, {Instance: "b"}}
	tests := map[string]struct {
		self       model.HostID
		hosts      []model.HostID
		own        observed
		others     map[model.HostID]observed
		members    []Member
		now        int
		promotedAt int // time of another host's promotion, in ms after start; zero for none
		want       Decision
	}{
		"primary works":                                   {self: "h1", own: observed{Leading, 1900}, now: 2000, want: Keep},
		"silent to this host only":                        {self: "h1", own: observed{Silent, 1000}, others: map[model.HostID]observed{"h2": {Leading, 4900}, "h3": {Leading, 4900}, "h4": {Leading, 4900}}, now: 5000, want: Keep},
		"silent to this host, no observation of others":   {self: "h1", own: observed{Silent, 1000}, now: 5000, want: Keep},
		"silent to half of the hosts":                     {self: "h1", own: observed{Silent, 1000}, others: map[model.HostID]observed{"h2": {Silent, 1000}}, now: 5000, want: Keep},
		"silent to most hosts":                            {self: "h1", own: observed{Silent, 1000}, others: map[model.HostID]observed{"h2": {Silent, 1000}, "h3": {Silent, 1000}}, now: 1600, want: Failover},
		"silent to most hosts for less than the timeout":  {self: "h1", own: observed{Silent, 1000}, others: map[model.HostID]observed{"h2": {Silent, 1000}, "h3": {Silent, 1000}}, now: 1400, want: Keep},
		"second host leaves it to the first":              {self: "h2", own: observed{Silent, 1000}, others: map[model.HostID]observed{"h1": {Silent, 1000}, "h3": {Silent, 1000}}, now: 1600, want: Keep},
		"second host acts after the stagger delay":        {self: "h2", own: observed{Silent, 1000}, others: map[model.HostID]observed{"h1": {Silent, 1000}, "h3": {Silent, 1000}}, now: 1950, want: Failover},
		"one host has a fresh proof":                      {self: "h1", own: observed{Silent, 1000}, others: map[model.HostID]observed{"h2": {Silent, 1000}, "h3": {Silent, 1000}, "h4": {Leading, 1900}}, now: 2000, want: Keep},
		"one host has an old proof":                       {self: "h1", own: observed{Silent, 1000}, others: map[model.HostID]observed{"h2": {Silent, 1000}, "h3": {Silent, 1000}, "h4": {Leading, 900}}, now: 2000, want: Failover},
		"silent to most hosts, but not to this one":       {self: "h4", own: observed{Leading, 2900}, others: map[model.HostID]observed{"h1": {Silent, 1000}, "h2": {Silent, 1000}, "h3": {Silent, 1000}}, now: 3000, want: Switchover},
		"silent to most hosts, this one has an old proof": {self: "h4", own: observed{Leading, 1000}, others: map[model.HostID]observed{"h1": {Silent, 1000}, "h2": {Silent, 1000}, "h3": {Silent, 1000}}, now: 3000, want: Keep},
		"promotion within the cooldown":                   {self: "h1", own: observed{Silent, 1000}, others: map[model.HostID]observed{"h2": {Silent, 1000}, "h3": {Silent, 1000}}, now: 1600, promotedAt: 1500, want: Keep},
		"isolated host, below the timeout":                {self: "h1", hosts: []model.HostID{"h1"}, own: observed{Silent, 1000}, now: 3000, want: Keep},
		"isolated host, past the timeout":                 {self: "h1", hosts: []model.HostID{"h1"}, own: observed{Silent, 1000}, now: 4100, want: Failover},
		"primary is leaving":                              {self: "h1", own: observed{Leading, 2900}, members: leaving, now: 3000, want: Switchover},
		"primary is leaving and silent":                   {self: "h1", own: observed{Silent, 2900}, members: leaving, now: 3000, want: Keep},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			monitor := New(DefaultTiming())
			monitor.primary, monitor.term, monitor.state, monitor.stateSince = "a", 1, test.own.state, after(test.own.since)
			for host, observation := range test.others {
				monitor.SetPeer(host, Observation{Instance: "a", Term: 1, State: observation.state, Since: after(observation.since), ReceivedAt: after(test.now)})
			}
			if test.promotedAt > 0 {
				monitor.RecordPromotion(after(test.promotedAt), Promotion{Instance: "b", Token: 4})
			}
			live := test.hosts
			if live == nil {
				live = hosts
			}
			members := test.members
			if members == nil {
				members = threeMembers
			}
			got, counts, reason := monitor.Decide(after(test.now), test.self, live, len(live), members)
			if got != test.want {
				t.Errorf("got decision %v (%+v, %s), want %v", got, counts, reason, test.want)
			}
		})
	}
}

// TestChanging guards against statements that give up on a primary that is still being replaced, and against statements that wait
// for one that is lost for good.
func TestChanging(t *testing.T) {
	silent := func(ms int) Health {
		return Health{Instance: "a", Term: 1, LastProof: after(0), SilentSince: after(ms)}
	}
	refused := func(id model.InstanceID, ms int) Health {
		return Health{Instance: id, Term: 1, LastProof: after(0), LastRefusal: after(ms)}
	}
	tests := map[string]struct {
		health     func(ms int) []Health // at each time
		promotedAt int                   // time of a promotion of b, in ms after start; zero for none
		suspected  bool                  // another host finds it silent
		until      int
		want       bool
	}{
		"works":                        {health: func(ms int) []Health { return []Health{leading("a", 1, after(ms))} }, until: 2000},
		"works, silent to another":     {health: func(ms int) []Health { return []Health{leading("a", 1, after(ms))} }, suspected: true, until: 2000},
		"answers are overdue":          {health: func(ms int) []Health { return []Health{{Instance: "a", LastProof: after(ms - 100), Overdue: true}} }, until: 2000},
		"just fallen silent":           {health: func(int) []Health { return []Health{silent(1900)} }, until: 2000, want: true},
		"silent":                       {health: func(int) []Health { return []Health{silent(1000)} }, until: 4000, want: true},
		"silent for good":              {health: func(int) []Health { return []Health{silent(1000)} }, until: 12000},
		"unproven, silent to another":  {health: func(int) []Health { return nil }, suspected: true, until: 2000, want: true},
		"unproven":                     {health: func(int) []Health { return nil }, until: 2000},
		"no instance leads":            {health: func(ms int) []Health { return []Health{refused("a", ms), refused("b", ms), refused("c", ms)} }, until: 3000, want: true},
		"none has led for long":        {health: func(ms int) []Health { return []Health{refused("a", ms), refused("b", ms), refused("c", ms)} }, until: 15000},
		"another is promoted":          {health: func(int) []Health { return []Health{silent(1000)} }, promotedAt: 3000, until: 4000, want: true},
		"another is promoted, leads":   {health: func(ms int) []Health { return []Health{silent(1000), leading("b", 2, after(ms))} }, promotedAt: 3000, until: 4000},
		"another never came to lead":   {health: func(ms int) []Health { return []Health{silent(1000), refused("b", ms)} }, promotedAt: 3000, until: 15000},
		"the store names no other one": {health: func(ms int) []Health { return []Health{leading("a", 1, after(ms))} }, promotedAt: 3000, until: 15000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			monitor := New(DefaultTiming())
			health := make(map[model.InstanceID]Health)
			for ms := 1000; ms <= test.until; ms += 50 {
				clear(health)
				for _, h := range test.health(ms) {
					health[h.Instance] = h
				}
				if test.promotedAt > 0 && ms >= test.promotedAt {
					monitor.RecordPromotion(after(ms), Promotion{Instance: "b", Token: 2})
				}
				if test.suspected {
					monitor.SetPeer("h2", Observation{Instance: "a", State: Silent, ReceivedAt: after(ms)})
				}
				monitor.UpdatePrimary(after(ms), threeMembers, health)
			}
			if got := monitor.Changing(after(test.until), health); got != test.want {
				t.Errorf("got %v (%+v), want %v", got, monitor.Observation(), test.want)
			}
		})
	}
}

// TestNoInstanceLeads covers a demotion without a promotion, as when the acting host is killed in between: every instance
// denies being primary, and another host has to fail over. It guards against a database that never gets a primary again beside an
// instance that does not answer, or whose entry another writer left.
func TestNoInstanceLeads(t *testing.T) {
	refused := func(id model.InstanceID, ms int) Health {
		return Health{Instance: id, Term: 1, LastProof: after(0), LastRefusal: after(ms)}
	}
	tests := map[string]struct {
		health     func(ms int) []Health
		promotedAt int // time of another host's promotion, in ms after start; zero for none
		until      int
		want       Decision
	}{
		"all refuse past the timeout":          {health: func(ms int) []Health { return []Health{refused("a", ms), refused("b", ms), refused("c", ms)} }, until: 2600, want: Failover},
		"all refuse for less than the timeout": {health: func(ms int) []Health { return []Health{refused("a", ms), refused("b", ms), refused("c", ms)} }, until: 1600, want: Keep},
		"one instance does not answer": {health: func(ms int) []Health {
			return []Health{refused("a", ms), refused("b", ms), {Instance: "c", SilentSince: after(500)}}
		}, until: 2600, want: Keep},
		"one instance does not answer for longer": {health: func(ms int) []Health {
			return []Health{refused("a", ms), refused("b", ms), {Instance: "c", SilentSince: after(500)}}
		}, until: 3100, want: Failover},
		"one instance neither denies nor proves it": {health: func(ms int) []Health {
			return []Health{refused("a", ms), refused("b", ms), {Instance: "c"}}
		}, until: 3100, want: Failover},
		"one instance answers now and then": {health: func(ms int) []Health {
			if ms/200%2 == 0 {
				return []Health{refused("a", ms), refused("b", ms), refused("c", ms)}
			}
			return []Health{refused("a", ms), refused("b", ms), {Instance: "c", LastRefusal: after(ms - 100), SilentSince: after(ms - 50)}}
		}, until: 3100, want: Failover},
		"promoted instance does not answer": {health: func(ms int) []Health {
			return []Health{refused("a", ms), {Instance: "b", SilentSince: after(950)}, refused("c", ms)}
		}, promotedAt: 900, until: 9000, want: Keep},
		"instance whose entry names it primary does not answer": {health: func(ms int) []Health {
			return []Health{{Instance: "a", SilentSince: after(500)}, refused("b", ms), refused("c", ms)}
		}, until: 9000, want: Keep},
		"instance that led in the newest term does not answer": {health: func(ms int) []Health {
			return []Health{refused("a", ms), refused("b", ms), {Instance: "c", Term: 2, LastProof: after(500), SilentSince: after(600)}}
		}, until: 9000, want: Keep},
		"instance that led in an earlier term does not answer": {health: func(ms int) []Health {
			earlier := Health{Instance: "c", Term: 2, LastProof: after(500), SilentSince: after(600)}
			if ms < 1500 {
				return []Health{leading("a", 3, after(ms)), refused("b", ms), earlier}
			}
			return []Health{{Instance: "a", Term: 3, LastProof: after(1450), LastRefusal: after(ms)}, refused("b", ms), earlier}
		}, until: 3600, want: Failover},
		"no instance answers": {health: func(int) []Health {
			return []Health{{Instance: "a", LastRefusal: after(500), SilentSince: after(600)}, {Instance: "b", SilentSince: after(600)}, {Instance: "c", SilentSince: after(600)}}
		}, until: 9000, want: Keep},
		"promotion in progress": {health: func(ms int) []Health { return []Health{refused("a", ms), refused("b", ms), refused("c", ms)} }, promotedAt: 900, until: 2600, want: Keep},
		"promotion failed":      {health: func(ms int) []Health { return []Health{refused("a", ms), refused("b", ms), refused("c", ms)} }, promotedAt: 900, until: 5000, want: Failover},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			monitor := New(DefaultTiming())
			if test.promotedAt > 0 {
				monitor.RecordPromotion(after(test.promotedAt), Promotion{Instance: "b", Token: 2})
			}
			for ms := 1000; ms <= test.until; ms += 50 {
				health := make(map[model.InstanceID]Health)
				for _, h := range test.health(ms) {
					health[h.Instance] = h
				}
				monitor.UpdatePrimary(after(ms), threeMembers, health)
			}
			if got, _, reason := monitor.Decide(after(test.until), "h1", []model.HostID{"h1", "h2"}, 2, threeMembers); got != test.want {
				t.Errorf("got %v (%s), want %v", got, reason, test.want)
			}
		})
	}
}

func TestDueProbes(t *testing.T) {
	overdue := leading("a", 1, after(0))
	overdue.Overdue = true
	silentC := Health{Instance: "c", SilentSince: after(0)}
	tests := map[string]struct {
		health    []Health
		suspected bool
		now       int
		want      []model.InstanceID
	}{
		"fresh proof":            {health: []Health{leading("a", 1, after(0))}, now: 500},
		"old proof":              {health: []Health{leading("a", 1, after(0))}, now: 950, want: []model.InstanceID{"a"}},
		"overdue answer":         {health: []Health{overdue}, now: 200, want: []model.InstanceID{"a"}},
		"silent to another host": {health: []Health{leading("a", 1, after(0))}, suspected: true, now: 200, want: []model.InstanceID{"a"}},
		"silent replica":         {health: []Health{leading("a", 1, after(400)), silentC}, now: 500, want: []model.InstanceID{"c"}},
		"no information":         {now: 500, want: []model.InstanceID{"a", "b", "c"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			monitor := New(DefaultTiming())
			health := make(map[model.InstanceID]Health)
			for _, h := range test.health {
				health[h.Instance] = h
			}
			if test.suspected {
				monitor.SetPeer("h2", Observation{Instance: "a", State: Silent, ReceivedAt: after(test.now)})
			}
			monitor.UpdatePrimary(after(test.now), threeMembers, health)
			got := monitor.DueProbes(after(test.now), 4, DefaultTiming().ProbeInterval, threeMembers, health)
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if again := monitor.DueProbes(after(test.now+1), 4, DefaultTiming().ProbeInterval, threeMembers, health); len(again) != 0 {
				t.Errorf("got %v 1 ms later, want none", again)
			}
		})
	}
}

// TestDueProbesInLargeFleet checks that probes don't overload a primary that every host of a fleet observes as silent.
func TestDueProbesInLargeFleet(t *testing.T) {
	const span = 6000 // length of the test in milliseconds
	tests := map[string]struct {
		hosts int // hosts besides this one
		least int // minimum number of probes by one host
		most  int // maximum number of probes per second by all hosts
	}{
		"4 hosts":    {hosts: 3, least: 35, most: 27},
		"32 hosts":   {hosts: 31, least: 35, most: 220},
		"100 hosts":  {hosts: 99, least: 12, most: 240},
		"1800 hosts": {hosts: 1799, least: 3, most: 1200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			monitor := New(DefaultTiming())
			health := map[model.InstanceID]Health{"a": {Instance: "a", SilentSince: after(0)}}
			monitor.UpdatePrimary(after(1000), threeMembers, health)
			probes := 0
			for ms := 1000; ms < 1000+span; ms += 50 {
				if slices.Contains(monitor.DueProbes(after(ms), test.hosts, DefaultTiming().ProbeInterval, threeMembers, health), "a") {
					probes++
				}
			}
			if probes < test.least {
				t.Errorf("got %d probes by one host in %d ms, want at least %d", probes, span, test.least)
			}
			if got := probes * (test.hosts + 1) * 1000 / span; got > test.most {
				t.Errorf("got %d probes per second by all hosts, want at most %d", got, test.most)
			}
		})
	}
}

func TestSuccessor(t *testing.T) {
	at := func(term model.Term, position model.Position) model.Point {
		return model.Point{Term: term, Position: position}
	}
	tests := map[string]struct {
		candidates []Candidate
		want       model.InstanceID
	}{
		"none":                              {},
		"most received":                     {candidates: []Candidate{{Instance: "b", Received: at(1, 5)}, {Instance: "c", Received: at(1, 9)}}, want: "c"},
		"newer term over higher position":   {candidates: []Candidate{{Instance: "b", Received: at(2, 5)}, {Instance: "c", Received: at(1, 9)}}, want: "b"},
		"same data centre breaks a tie":     {candidates: []Candidate{{Instance: "b", Received: at(1, 5)}, {Instance: "c", Received: at(1, 5), SameDataCentre: true}}, want: "c"},
		"an order may still be carried out": {candidates: []Candidate{{Instance: "b", Received: at(1, 5), SameDataCentre: true}, {Instance: "c", Received: at(1, 5), Ordered: true}}, want: "c"},
		"more received than the ordered":    {candidates: []Candidate{{Instance: "b", Received: at(1, 6)}, {Instance: "c", Received: at(1, 5), Ordered: true}}, want: "b"},
		"most received, though it leaves":   {candidates: []Candidate{{Instance: "b", Received: at(1, 5)}, {Instance: "c", Received: at(1, 9), Leaving: true}}, want: "c"},
		"one that stays breaks a tie":       {candidates: []Candidate{{Instance: "b", Received: at(1, 9), Leaving: true, Ordered: true}, {Instance: "c", Received: at(1, 9)}}, want: "c"},
		"the former primary holds more":     {candidates: []Candidate{{Instance: "a", Received: at(1, 9), Former: true}, {Instance: "b", Received: at(1, 5)}}, want: "a"},
		"another one than the former":       {candidates: []Candidate{{Instance: "a", Received: at(1, 9), Former: true}, {Instance: "b", Received: at(1, 9), Leaving: true}}, want: "b"},
		"lowest id breaks a tie":            {candidates: []Candidate{{Instance: "c", Received: at(1, 5)}, {Instance: "b", Received: at(1, 5)}}, want: "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, found := Successor(test.candidates)
			if got.Instance != test.want || found != (test.want != "") {
				t.Errorf("got %q, %v, want %q", got.Instance, found, test.want)
			}
		})
	}
}

// TestHoldsAcknowledged guards against a promotion that loses commits which only a replica that did not respond has received.
func TestHoldsAcknowledged(t *testing.T) {
	tests := map[string]struct {
		survey Survey
		want   bool
	}{
		"all replicas are heard":      {survey: Survey{Candidates: []Candidate{{Instance: "b"}, {Instance: "c"}}}, want: true},
		"one is not heard":            {survey: Survey{Candidates: []Candidate{{Instance: "b"}}, Unheard: []model.InstanceID{"c"}}},
		"none is heard":               {survey: Survey{Unheard: []model.InstanceID{"b", "c"}}},
		"the former primary is heard": {survey: Survey{Candidates: []Candidate{{Instance: "a", Former: true}}, Unheard: []model.InstanceID{"b", "c"}}, want: true},
		"the only replica is heard":   {survey: Survey{Candidates: []Candidate{{Instance: "b"}}}, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.survey.HoldsAcknowledged(); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}
