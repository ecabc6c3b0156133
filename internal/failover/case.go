package failover

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingspread/internal/model"
)

// State is how a host finds a primary.
type State string

// The states of a primary.
const (
	Led     State = "led"     // it proved that it leads
	Silent  State = "silent"  // it does not answer
	Unknown State = "unknown" // neither is known
)

// Sight is what one host sees of the primary that it believes in.
type Sight struct {
	Instance model.InstanceID
	Term     model.Term
	State    State
	Since    time.Time // of the last proof when led, of the first failure when silent
	Heard    time.Time // when the host told it
}

// Health is what a host's own traffic and probes show of one instance.
type Health struct {
	Instance model.InstanceID
	Term     model.Term // of the newest proof
	Led      time.Time  // newest proof that it leads
	Refused  time.Time  // newest refusal because it does not lead
	Silent   time.Time  // first failure since the last answer; zero when it answers
	Stalled  bool       // an answer is overdue
}

// Timing holds the times of a case.
type Timing struct {
	Confirm  time.Duration // silence after which a primary counts as silent
	Lone     time.Duration // silence after which a host that hears no other replaces a primary
	Partial  time.Duration // silence towards most hosts after which a primary that leads for some is moved
	Stagger  time.Duration // between the hosts that may act, in order of their names
	Cooldown time.Duration // between two changes of one primary, against flapping
	Fresh    time.Duration // age up to which another host's proof keeps a primary
	Probe    time.Duration // between two proofs of an idle primary
	Rush     time.Duration // between two probes of a primary in doubt
	Patience time.Duration // that a replica far behind waits for a primary that may come back
}

// DefaultTiming returns the times that a host uses.
func DefaultTiming() Timing {
	return Timing{
		Confirm:  500 * time.Millisecond,  // two probes in turn
		Lone:     3 * time.Second,         // a host cut off from the others is likelier than a lost primary
		Partial:  1500 * time.Millisecond, // a move costs about as long a gap
		Stagger:  400 * time.Millisecond,  // the time of a whole attempt without faults
		Cooldown: 4 * time.Second,         // several times the gap of a change
		Fresh:    300 * time.Millisecond,  // a proof between two beats
		Probe:    900 * time.Millisecond,  // keeps a mark within the ages that reads accept
		Rush:     150 * time.Millisecond,  // a few round trips between regions
		Patience: 2 * time.Second,         // a restart of an instance
	}
}

// Lead is the newest promotion that the platform holds of a database.
type Lead struct {
	Instance model.InstanceID
	Token    model.Token
	Holder   model.HostID
}

// Case is one database as a host sees it; it is used by one goroutine.
type Case struct {
	Timing Timing

	primary model.InstanceID
	term    model.Term
	state   State
	since   time.Time
	lead    Lead
	others  map[model.HostID]Sight
	changed time.Time // of the newest change of the primary
	ordered time.Time // of the newest promotion that is known
	denied  time.Time // since when every instance says that it does not lead; zero when one may lead
	probed  map[model.InstanceID]time.Time
}

// New returns a case that knows nothing.
func New(timing Timing) *Case {
	return &Case{
		Timing: timing,
		state:  Unknown,
		others: make(map[model.HostID]Sight),
		probed: make(map[model.InstanceID]time.Time),
	}
}

// Sight returns what this host sees.
func (c *Case) Sight() Sight {
	return Sight{Instance: c.primary, Term: c.term, State: c.state, Since: c.since}
}

// Ordered returns when the newest known promotion was ordered.
func (c *Case) Ordered() time.Time { return c.ordered }

// Lead returns the newest promotion that is known.
func (c *Case) Lead() Lead { return c.lead }

// Hear takes another host's sight.
func (c *Case) Hear(host model.HostID, sight Sight) { c.others[host] = sight }

// Learn takes the platform's row of the newest promotion.
func (c *Case) Learn(now time.Time, lead Lead) {
	if lead.Token <= c.lead.Token {
		return
	}
	c.lead = lead
	c.ordered = now
}

// Member is an instance of the database as the directory has it.
type Member struct {
	Instance model.InstanceID
	Claims   bool // its entry says that it leads
	Leaving  bool
}

// Believe decides which instance leads, from proofs first, then from the newest promotion, then from entries.
//
// It reports whether the belief changed, and why.
func (c *Case) Believe(now time.Time, members []Member, health map[model.InstanceID]Health) (bool, string) {
	before, stateBefore := c.primary, c.state
	c.deny(now, members, health)
	reason := c.choose(members, health)
	h := health[c.primary]
	switch {
	case c.primary == "":
		c.state = Unknown
	case !h.Silent.IsZero() && h.Silent.After(h.Led):
		if now.Sub(h.Silent) >= c.Timing.Confirm {
			c.state, c.since = Silent, h.Silent
		}
	case h.Led.After(h.Refused) && now.Sub(h.Led) < c.Timing.Probe+c.Timing.Fresh:
		c.state, c.since = Led, h.Led
		c.term = max(c.term, h.Term)
	case h.Refused.After(h.Led):
		c.state, c.since = Unknown, h.Refused
	}
	if c.primary != before {
		c.changed = now
		if c.state == Silent || stateBefore == Silent {
			c.state, c.since = Unknown, now
		}
	}
	return c.primary != before || c.state != stateBefore, reason
}

// deny notes since when every instance says that it does not lead, as after a demotion whose promotion never came.
func (c *Case) deny(now time.Time, members []Member, health map[model.InstanceID]Health) {
	for _, member := range members {
		h := health[member.Instance]
		if !h.Refused.After(h.Led) || now.Sub(h.Refused) > c.Timing.Confirm || !h.Silent.IsZero() {
			c.denied = time.Time{}
			return
		}
	}
	if c.denied.IsZero() && len(members) > 0 {
		c.denied = now
	}
}

// choose picks the instance and returns the reason.
func (c *Case) choose(members []Member, health map[model.InstanceID]Health) string {
	var proven, claimed model.InstanceID
	var best Health
	promoted := false
	for _, member := range members {
		h := health[member.Instance]
		if h.Led.After(h.Refused) && cmp.Or(cmp.Compare(h.Term, best.Term), h.Led.Compare(best.Led)) > 0 {
			proven, best = member.Instance, h
		}
		if member.Claims && !h.Refused.After(h.Led) {
			claimed = member.Instance
		}
		if member.Instance == c.lead.Instance && !h.Refused.After(c.ordered) {
			promoted = true
		}
	}
	switch {
	case proven != "" && (best.Term > c.term || best.Term == c.term):
		c.primary = proven
		return "proof"
	case promoted && c.lead.Instance != c.primary:
		c.primary = c.lead.Instance
		return "promotion"
	case claimed != "" && (c.primary == "" || !contains(members, c.primary) || health[c.primary].Refused.After(health[c.primary].Led)):
		c.primary = claimed
		return "entry"
	case !contains(members, c.primary):
		c.primary = ""
		return "none"
	}
	return "unchanged"
}

// contains reports whether the instance is among the members.
func contains(members []Member, instance model.InstanceID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Instance == instance })
}

// Doubted reports whether another host finds the believed primary silent.
func (c *Case) Doubted(now time.Time) bool {
	for _, sight := range c.others {
		if sight.Instance == c.primary && sight.State == Silent && now.Sub(sight.Heard) < time.Second {
			return true
		}
	}
	return false
}

// Verdict is what is to be done about a primary.
type Verdict uint8

// The verdicts.
const (
	Keep    Verdict = iota
	Replace         // the primary is lost
	Move            // the primary leads, but leaves or is out of reach of most hosts; it is demoted first
)

// Count tells how the live hosts see the primary.
type Count struct {
	Silent, Led, Live int
}

// Judge decides whether this host is to change the primary now; hosts are the live ones, this one included.
func (c *Case) Judge(now time.Time, self model.HostID, hosts []model.HostID, members []Member) (Verdict, Count, string) {
	var count Count
	var silent, led []model.HostID
	latest := time.Time{}
	for _, host := range hosts {
		sight, known := c.others[host]
		if host == self {
			sight, known = c.Sight(), true
		}
		if !known || sight.Instance != c.primary {
			continue
		}
		switch sight.State {
		case Silent:
			silent = append(silent, host)
		case Led:
			led = append(led, host)
			if sight.Since.After(latest) {
				latest = sight.Since
			}
		}
	}
	count = Count{Silent: len(silent), Led: len(led), Live: len(hosts)}
	if now.Sub(c.ordered) < c.Timing.Cooldown {
		return Keep, count, ""
	}
	if !c.denied.IsZero() && now.Sub(c.denied) >= c.Timing.Partial+c.turn(self, hosts) {
		return Replace, count, "no instance leads"
	}
	if c.primary == "" || now.Sub(c.changed) < c.Timing.Confirm {
		return Keep, count, ""
	}
	if verdict, reason := c.replace(now, self, hosts, silent, led, latest); verdict != Keep {
		return verdict, count, reason
	}
	verdict, reason := c.move(now, self, hosts, silent, led, members)
	return verdict, count, reason
}

// replace decides on a primary that nobody reaches.
func (c *Case) replace(now time.Time, self model.HostID, hosts, silent, led []model.HostID, latest time.Time) (Verdict, string) {
	if c.state != Silent || 2*len(silent) <= len(hosts) {
		return Keep, ""
	}
	if len(led) > 0 && now.Sub(latest) < c.Timing.Confirm+c.Timing.Fresh {
		return Keep, ""
	}
	silence := now.Sub(c.since)
	if len(hosts) == 1 {
		if silence >= c.Timing.Lone {
			return Replace, "silent, and no other host is heard"
		}
		return Keep, ""
	}
	if silence >= c.Timing.Confirm+c.turn(self, silent) {
		return Replace, "silent to most hosts"
	}
	return Keep, ""
}

// move decides on a primary that leads, but leaves or reaches few hosts.
func (c *Case) move(now time.Time, self model.HostID, hosts, silent, led []model.HostID, members []Member) (Verdict, string) {
	if c.state != Led {
		return Keep, ""
	}
	leaving := slices.ContainsFunc(members, func(m Member) bool { return m.Instance == c.primary && m.Leaving })
	if leaving && now.Sub(c.changed) >= c.turn(self, led) {
		return Move, "leaving"
	}
	if 2*len(silent) <= len(hosts) {
		return Keep, ""
	}
	first := now
	for _, host := range silent {
		if since := c.others[host].Since; since.Before(first) {
			first = since
		}
	}
	if now.Sub(first) >= c.Timing.Partial+c.turn(self, led) && now.Sub(c.since) < c.Timing.Fresh {
		return Move, "silent to most hosts, but not to this one"
	}
	return Keep, ""
}

// turn returns how long this host lets the others among the acting ones go first.
func (c *Case) turn(self model.HostID, acting []model.HostID) time.Duration {
	acting = slices.Sorted(slices.Values(acting))
	return time.Duration(max(slices.Index(acting, self), 0)) * c.Timing.Stagger
}

// Forget drops the sights of hosts that are no longer live.
func (c *Case) Forget(live map[model.HostID]bool) {
	maps.DeleteFunc(c.others, func(host model.HostID, _ Sight) bool { return !live[host] })
}

// Candidate is a replica that may take over.
type Candidate struct {
	Instance model.InstanceID
	Received model.Point
	Near     bool // in the data centre of the former primary
	Leaving  bool
}

// Successor returns the replica that received most, and none while all lack far too much and patience remains.
//
// Points are those received, not applied: a promotion leads with all that the replica received.
func Successor(candidates []Candidate) (Candidate, bool) {
	var best Candidate
	found := false
	for _, candidate := range candidates {
		better := cmp.Or(
			compareBool(!candidate.Leaving, !best.Leaving),
			candidate.Received.Compare(best.Received),
			compareBool(candidate.Near, best.Near),
			cmp.Compare(best.Instance, candidate.Instance),
		) > 0
		if !found || better {
			best, found = candidate, true
		}
	}
	return best, found
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
