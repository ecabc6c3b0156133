package failover

import (
	"slices"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// start is the first moment of each test.
var start = time.Unix(1000, 0)

// after returns a moment some milliseconds after the start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// trio are the members of a database whose first instance says that it leads.
var trio = []Member{{Instance: "a", ClaimsPrimary: true}, {Instance: "b"}, {Instance: "c"}}

// led returns the health of an instance that proved at the moment that it leads.
func led(id model.InstanceID, term model.Term, at time.Time) Health {
	return Health{Instance: id, Term: term, LastProof: at}
}

func TestBelieve(t *testing.T) {
	silentA := led("a", 1, after(0))
	silentA.SilentSince = after(100)
	refusedA := led("a", 1, after(0))
	refusedA.LastRefusal = after(100)
	tests := map[string]struct {
		members []Member
		lead    Promotion
		health  []Health
		now     time.Time
		want    model.InstanceID
		state   State
	}{
		"nothing known":                    {now: after(0), state: Unknown},
		"an entry says so":                 {members: trio, now: after(0), want: "a", state: Unknown},
		"a proof":                          {members: trio, health: []Health{led("a", 1, after(0))}, now: after(10), want: "a", state: Leading},
		"a proof of another goes first":    {members: trio, health: []Health{led("b", 2, after(0))}, now: after(10), want: "b", state: Leading},
		"the newest term among proofs":     {members: trio, health: []Health{led("a", 1, after(9)), led("b", 2, after(0))}, now: after(10), want: "b", state: Leading},
		"silent for a moment is not yet":   {members: trio, health: []Health{silentA}, now: after(300), want: "a", state: Unknown},
		"silent":                           {members: trio, health: []Health{silentA}, now: after(700), want: "a", state: Silent},
		"it refuses":                       {members: trio, health: []Health{refusedA}, now: after(200), state: Unknown},
		"a promotion is known":             {members: trio, health: []Health{refusedA}, lead: Promotion{Instance: "b", Token: 1}, now: after(200), want: "b", state: Unknown},
		"a proof goes before a promotion":  {members: trio, health: []Health{led("c", 3, after(150))}, lead: Promotion{Instance: "b", Token: 1}, now: after(200), want: "c", state: Leading},
		"the instance has left":            {members: []Member{{Instance: "b"}}, now: after(0), state: Unknown},
		"an old proof that nothing denies": {members: trio, health: []Health{led("a", 1, after(0))}, now: after(5000), want: "a", state: Leading},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(DefaultTiming())
			c.RecordPromotion(after(50), test.lead)
			health := make(map[model.InstanceID]Health)
			for _, h := range test.health {
				health[h.Instance] = h
			}
			c.UpdatePrimary(after(0), test.members, health)
			c.UpdatePrimary(test.now, test.members, health)
			if got := c.Observation(); got.Instance != test.want || got.State != test.state {
				t.Errorf("got %q %s, want %q %s", got.Instance, got.State, test.want, test.state)
			}
		})
	}
}

// look is what one host sees of the primary "a".
type look struct {
	state State
	since int // milliseconds
}

func TestJudge(t *testing.T) {
	hosts := []model.HostID{"h1", "h2", "h3", "h4"}
	leaving := []Member{{Instance: "a", ClaimsPrimary: true, Leaving: true}, {Instance: "b"}}
	tests := map[string]struct {
		self    model.HostID
		hosts   []model.HostID
		own     look
		others  map[model.HostID]look
		members []Member
		now     int
		ordered int // when another host ordered a promotion; zero for never
		want    Decision
	}{
		"all is well":                             {self: "h1", own: look{Leading, 1900}, now: 2000, want: Keep},
		"silent to this host alone":               {self: "h1", own: look{Silent, 1000}, others: map[model.HostID]look{"h2": {Leading, 4900}, "h3": {Leading, 4900}, "h4": {Leading, 4900}}, now: 5000, want: Keep},
		"silent to this host, others say nothing": {self: "h1", own: look{Silent, 1000}, now: 5000, want: Keep},
		"silent to half of the hosts":             {self: "h1", own: look{Silent, 1000}, others: map[model.HostID]look{"h2": {Silent, 1000}}, now: 5000, want: Keep},
		"silent to most hosts":                    {self: "h1", own: look{Silent, 1000}, others: map[model.HostID]look{"h2": {Silent, 1000}, "h3": {Silent, 1000}}, now: 1600, want: Failover},
		"but not for long enough":                 {self: "h1", own: look{Silent, 1000}, others: map[model.HostID]look{"h2": {Silent, 1000}, "h3": {Silent, 1000}}, now: 1400, want: Keep},
		"the second host waits for the first":     {self: "h2", own: look{Silent, 1000}, others: map[model.HostID]look{"h1": {Silent, 1000}, "h3": {Silent, 1000}}, now: 1600, want: Keep},
		"and acts when the first does not":        {self: "h2", own: look{Silent, 1000}, others: map[model.HostID]look{"h1": {Silent, 1000}, "h3": {Silent, 1000}}, now: 1950, want: Failover},
		"one host still has fresh proofs":         {self: "h1", own: look{Silent, 1000}, others: map[model.HostID]look{"h2": {Silent, 1000}, "h3": {Silent, 1000}, "h4": {Leading, 1900}}, now: 2000, want: Keep},
		"its proofs are old":                      {self: "h1", own: look{Silent, 1000}, others: map[model.HostID]look{"h2": {Silent, 1000}, "h3": {Silent, 1000}, "h4": {Leading, 900}}, now: 2000, want: Failover},
		"that host moves the primary":             {self: "h4", own: look{Leading, 2900}, others: map[model.HostID]look{"h1": {Silent, 1000}, "h2": {Silent, 1000}, "h3": {Silent, 1000}}, now: 3000, want: Switchover},
		"not without a fresh proof":               {self: "h4", own: look{Leading, 1000}, others: map[model.HostID]look{"h1": {Silent, 1000}, "h2": {Silent, 1000}, "h3": {Silent, 1000}}, now: 3000, want: Keep},
		"just changed":                            {self: "h1", own: look{Silent, 1000}, others: map[model.HostID]look{"h2": {Silent, 1000}, "h3": {Silent, 1000}}, now: 1600, ordered: 1500, want: Keep},
		"alone, for a while":                      {self: "h1", hosts: []model.HostID{"h1"}, own: look{Silent, 1000}, now: 3000, want: Keep},
		"alone, for long":                         {self: "h1", hosts: []model.HostID{"h1"}, own: look{Silent, 1000}, now: 4100, want: Failover},
		"the primary leaves":                      {self: "h1", own: look{Leading, 2900}, members: leaving, now: 3000, want: Switchover},
		"the primary leaves and is silent":        {self: "h1", own: look{Silent, 2900}, members: leaving, now: 3000, want: Keep},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(DefaultTiming())
			c.primary, c.term, c.state, c.stateSince = "a", 1, test.own.state, after(test.own.since)
			for host, l := range test.others {
				c.SetPeer(host, Observation{Instance: "a", Term: 1, State: l.state, Since: after(l.since), ReceivedAt: after(test.now)})
			}
			if test.ordered > 0 {
				c.RecordPromotion(after(test.ordered), Promotion{Instance: "b", Token: 4})
			}
			among := test.hosts
			if among == nil {
				among = hosts
			}
			members := test.members
			if members == nil {
				members = trio
			}
			got, count, reason := c.Decide(after(test.now), test.self, among, members)
			if got != test.want {
				t.Errorf("got verdict %v (%+v, %s), want %v", got, count, reason, test.want)
			}
		})
	}
}

// TestNoInstanceLeads plays a demotion whose promotion never came, as when the acting host is killed in between.
func TestNoInstanceLeads(t *testing.T) {
	refused := func(id model.InstanceID, ms int) Health {
		return Health{Instance: id, Term: 1, LastProof: after(0), LastRefusal: after(ms)}
	}
	tests := map[string]struct {
		health  func(ms int) []Health
		ordered int // of a promotion by another host; zero for none
		until   int
		want    Decision
	}{
		"all refuse for long":     {health: func(ms int) []Health { return []Health{refused("a", ms), refused("b", ms), refused("c", ms)} }, until: 2600, want: Failover},
		"all refuse for a moment": {health: func(ms int) []Health { return []Health{refused("a", ms), refused("b", ms), refused("c", ms)} }, until: 1600, want: Keep},
		"one does not answer": {health: func(ms int) []Health {
			return []Health{refused("a", ms), refused("b", ms), {Instance: "c", SilentSince: after(500)}}
		}, until: 2600, want: Keep},
		"a promotion is under way":     {health: func(ms int) []Health { return []Health{refused("a", ms), refused("b", ms), refused("c", ms)} }, ordered: 900, until: 2600, want: Keep},
		"a promotion never came about": {health: func(ms int) []Health { return []Health{refused("a", ms), refused("b", ms), refused("c", ms)} }, ordered: 900, until: 5000, want: Failover},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(DefaultTiming())
			if test.ordered > 0 {
				c.RecordPromotion(after(test.ordered), Promotion{Instance: "b", Token: 2})
			}
			for ms := 1000; ms <= test.until; ms += 50 {
				health := make(map[model.InstanceID]Health)
				for _, h := range test.health(ms) {
					health[h.Instance] = h
				}
				c.UpdatePrimary(after(ms), trio, health)
			}
			if got, _, reason := c.Decide(after(test.until), "h1", []model.HostID{"h1", "h2"}, trio); got != test.want {
				t.Errorf("got %v (%s), want %v", got, reason, test.want)
			}
		})
	}
}

func TestProbes(t *testing.T) {
	stalled := led("a", 1, after(0))
	stalled.Overdue = true
	silentC := Health{Instance: "c", SilentSince: after(0)}
	tests := map[string]struct {
		health []Health
		doubt  bool
		now    int
		want   []model.InstanceID
	}{
		"a fresh proof":        {health: []Health{led("a", 1, after(0))}, now: 500},
		"an old proof":         {health: []Health{led("a", 1, after(0))}, now: 950, want: []model.InstanceID{"a"}},
		"overdue answers":      {health: []Health{stalled}, now: 200, want: []model.InstanceID{"a"}},
		"another host's doubt": {health: []Health{led("a", 1, after(0))}, doubt: true, now: 200, want: []model.InstanceID{"a"}},
		"a silent replica":     {health: []Health{led("a", 1, after(400)), silentC}, now: 500, want: []model.InstanceID{"c"}},
		"nothing is known":     {now: 500, want: []model.InstanceID{"a", "b", "c"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(DefaultTiming())
			health := make(map[model.InstanceID]Health)
			for _, h := range test.health {
				health[h.Instance] = h
			}
			if test.doubt {
				c.SetPeer("h2", Observation{Instance: "a", State: Silent, ReceivedAt: after(test.now)})
			}
			c.UpdatePrimary(after(test.now), trio, health)
			got := c.DueProbes(after(test.now), 4, trio, health)
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if again := c.DueProbes(after(test.now+1), 4, trio, health); len(again) != 0 {
				t.Errorf("got %v a moment later, want none", again)
			}
		})
	}
}

// TestProbesOfALargeFleet has every host of a fleet find the primary silent at once.
func TestProbesOfALargeFleet(t *testing.T) {
	const span = 6000 // milliseconds
	tests := map[string]struct {
		hosts int
		least int // probes of one host
		most  int // probes of all hosts a second
	}{
		"a few hosts": {hosts: 3, least: 35, most: 27},
		"thirty":      {hosts: 31, least: 35, most: 220},
		"a hundred":   {hosts: 99, least: 12, most: 240},
		"very many":   {hosts: 1799, least: 3, most: 1200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(DefaultTiming())
			health := map[model.InstanceID]Health{"a": {Instance: "a", SilentSince: after(0)}}
			c.UpdatePrimary(after(1000), trio, health)
			probes := 0
			for ms := 1000; ms < 1000+span; ms += 50 {
				if slices.Contains(c.DueProbes(after(ms), test.hosts, trio, health), "a") {
					probes++
				}
			}
			if probes < test.least {
				t.Errorf("got %d probes of a host in %d ms, want at least %d", probes, span, test.least)
			}
			if got := probes * (test.hosts + 1) * 1000 / span; got > test.most {
				t.Errorf("got %d probes of all hosts a second, want at most %d", got, test.most)
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
		"none":                           {},
		"the one that received most":     {candidates: []Candidate{{Instance: "b", Received: at(1, 5)}, {Instance: "c", Received: at(1, 9)}}, want: "c"},
		"the newer term goes first":      {candidates: []Candidate{{Instance: "b", Received: at(2, 5)}, {Instance: "c", Received: at(1, 9)}}, want: "b"},
		"near the former primary":        {candidates: []Candidate{{Instance: "b", Received: at(1, 5)}, {Instance: "c", Received: at(1, 5), SameDataCentre: true}}, want: "c"},
		"one that stays before a leaver": {candidates: []Candidate{{Instance: "b", Received: at(1, 5)}, {Instance: "c", Received: at(1, 9), Leaving: true}}, want: "b"},
		"the same on every host":         {candidates: []Candidate{{Instance: "c", Received: at(1, 5)}, {Instance: "b", Received: at(1, 5)}}, want: "b"},
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
