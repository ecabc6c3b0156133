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
	Leading State = "led"     // it proved that it leads
	Silent  State = "silent"  // it does not answer
	Unknown State = "unknown" // neither is known
)

// Observation is what one host sees of the primary that it believes in.
type Observation struct {
	Instance   model.InstanceID
	Term       model.Term
	State      State
	Since      time.Time // of the last proof when led, of the first failure when silent
	ReceivedAt time.Time // when the host told it
}

// Health is what a host's own traffic and probes show of one instance.
type Health struct {
	Instance    model.InstanceID
	Term        model.Term // of the newest proof
	LastProof   time.Time  // newest proof that it leads
	LastRefusal time.Time  // newest refusal because it does not lead
	SilentSince time.Time  // first failure since the last answer; zero when it answers
	Overdue     bool       // an answer is overdue
}

// Timing holds the times of a case.
type Timing struct {
	SilenceTimeout    time.Duration // silence after which a primary counts as silent
	IsolatedTimeout   time.Duration // silence after which a host that hears no other replaces a primary
	PartialTimeout    time.Duration // silence towards most hosts after which a primary that leads for some is moved
	Stagger           time.Duration // between the hosts that may act, in order of their names
	Cooldown          time.Duration // between two changes of one primary, against flapping
	ProofMaxAge       time.Duration // age up to which another host's proof keeps a primary
	ProbeInterval     time.Duration // between two proofs of an idle primary
	FastProbeInterval time.Duration // between two probes of a primary in doubt
	ReturnGrace       time.Duration // that a replica far behind waits for a primary that may come back
}

// DefaultTiming returns the times that a host uses.
func DefaultTiming() Timing {
	return Timing{
		SilenceTimeout:    500 * time.Millisecond,  // two probes in turn
		IsolatedTimeout:   3 * time.Second,         // a host cut off from the others is likelier than a lost primary
		PartialTimeout:    1500 * time.Millisecond, // a move costs about as long a gap
		Stagger:           400 * time.Millisecond,  // the time of a whole attempt without faults
		Cooldown:          4 * time.Second,         // several times the gap of a change
		ProofMaxAge:       300 * time.Millisecond,  // a proof between two beats
		ProbeInterval:     900 * time.Millisecond,  // keeps a mark within the ages that reads accept
		FastProbeInterval: 150 * time.Millisecond,  // a few round trips between regions
		ReturnGrace:       2 * time.Second,         // a restart of an instance
	}
}

// Promotion is the newest promotion that the platform holds of a database.
type Promotion struct {
	Instance model.InstanceID
	Token    model.Token
	Holder   model.HostID
}

// Monitor is one database as a host sees it; it is used by one goroutine.
type Monitor struct {
	Timing Timing

	primary          model.InstanceID
	term             model.Term
	state            State
	stateSince       time.Time
	promotion        Promotion
	peers            map[model.HostID]Observation
	primaryChangedAt time.Time // of the newest change of the primary
	promotedAt       time.Time // of the newest promotion that is known
	leaderlessSince  time.Time // since when every instance says that it does not lead; zero when one may lead
	lastProbe        map[model.InstanceID]time.Time
}

// New returns a case that knows nothing.
func New(timing Timing) *Monitor {
	return &Monitor{
		Timing:    timing,
		state:     Unknown,
		peers:     make(map[model.HostID]Observation),
		lastProbe: make(map[model.InstanceID]time.Time),
	}
}

// Observation returns what this host sees.
func (c *Monitor) Observation() Observation {
	return Observation{Instance: c.primary, Term: c.term, State: c.state, Since: c.stateSince}
}

// PromotedAt returns when the newest known promotion was ordered.
func (c *Monitor) PromotedAt() time.Time { return c.promotedAt }

// Promotion returns the newest promotion that is known.
func (c *Monitor) Promotion() Promotion { return c.promotion }

// SetPeer takes another host's sight.
func (c *Monitor) SetPeer(host model.HostID, sight Observation) { c.peers[host] = sight }

// RecordPromotion takes the platform's row of the newest promotion.
func (c *Monitor) RecordPromotion(now time.Time, lead Promotion) {
	if lead.Token <= c.promotion.Token {
		return
	}
	c.promotion = lead
	c.promotedAt = now
}

// Member is an instance of the database as the directory has it.
type Member struct {
	Instance      model.InstanceID
	ClaimsPrimary bool // its entry says that it leads
	Leaving       bool
}

// UpdatePrimary decides which instance leads, from proofs first, then from the newest promotion, then from entries.
//
// It reports whether the belief changed, and why.
func (c *Monitor) UpdatePrimary(now time.Time, members []Member, health map[model.InstanceID]Health) (bool, string) {
	before, stateBefore := c.primary, c.state
	c.updateLeaderless(now, members, health)
	reason := c.selectPrimary(members, health)
	h := health[c.primary]
	switch {
	case c.primary == "":
		c.state = Unknown
	case !h.SilentSince.IsZero() && h.SilentSince.After(h.LastProof):
		if now.Sub(h.SilentSince) >= c.Timing.SilenceTimeout {
			c.state, c.stateSince = Silent, h.SilentSince
		}
	case h.LastProof.After(h.LastRefusal) && now.Sub(h.LastProof) < c.Timing.ProbeInterval+c.Timing.ProofMaxAge:
		c.state, c.stateSince = Leading, h.LastProof
		c.term = max(c.term, h.Term)
	case h.LastRefusal.After(h.LastProof):
		c.state, c.stateSince = Unknown, h.LastRefusal
	}
	if c.primary != before {
		c.primaryChangedAt = now
		if c.state == Silent || stateBefore == Silent {
			c.state, c.stateSince = Unknown, now
		}
	}
	return c.primary != before || c.state != stateBefore, reason
}

// updateLeaderless notes since when every instance says that it does not lead, as after a demotion whose promotion never came.
func (c *Monitor) updateLeaderless(now time.Time, members []Member, health map[model.InstanceID]Health) {
	for _, member := range members {
		h := health[member.Instance]
		if !h.LastRefusal.After(h.LastProof) || now.Sub(h.LastRefusal) > c.Timing.SilenceTimeout || !h.SilentSince.IsZero() {
			c.leaderlessSince = time.Time{}
			return
		}
	}
	if c.leaderlessSince.IsZero() && len(members) > 0 {
		c.leaderlessSince = now
	}
}

// selectPrimary picks the instance and returns the reason.
func (c *Monitor) selectPrimary(members []Member, health map[model.InstanceID]Health) string {
	var proven, claimed model.InstanceID
	var best Health
	promoted := false
	for _, member := range members {
		h := health[member.Instance]
		if h.LastProof.After(h.LastRefusal) && cmp.Or(cmp.Compare(h.Term, best.Term), h.LastProof.Compare(best.LastProof)) > 0 {
			proven, best = member.Instance, h
		}
		if member.ClaimsPrimary && !h.LastRefusal.After(h.LastProof) {
			claimed = member.Instance
		}
		if member.Instance == c.promotion.Instance && !h.LastRefusal.After(c.promotedAt) {
			promoted = true
		}
	}
	switch {
	case proven != "" && (best.Term > c.term || best.Term == c.term):
		c.primary = proven
		return "proof"
	case promoted && c.promotion.Instance != c.primary:
		c.primary = c.promotion.Instance
		return "promotion"
	case claimed != "" && (c.primary == "" || !contains(members, c.primary) || health[c.primary].LastRefusal.After(health[c.primary].LastProof)):
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

// SuspectedByPeer reports whether another host finds the believed primary silent.
func (c *Monitor) SuspectedByPeer(now time.Time) bool {
	for _, sight := range c.peers {
		if sight.Instance == c.primary && sight.State == Silent && now.Sub(sight.ReceivedAt) < time.Second {
			return true
		}
	}
	return false
}

// Decision is what is to be done about a primary.
type Decision uint8

// The verdicts.
const (
	Keep       Decision = iota
	Failover            // the primary is lost
	Switchover          // the primary leads, but leaves or is out of reach of most hosts; it is demoted first
)

// HostCounts tells how the live hosts see the primary.
type HostCounts struct {
	Silent, Leading, Live int
}

// Decide decides whether this host is to change the primary now; hosts are the live ones, this one included.
func (c *Monitor) Decide(now time.Time, self model.HostID, hosts []model.HostID, members []Member) (Decision, HostCounts, string) {
	var count HostCounts
	var silent, led []model.HostID
	latest := time.Time{}
	for _, host := range hosts {
		sight, known := c.peers[host]
		if host == self {
			sight, known = c.Observation(), true
		}
		if !known || sight.Instance != c.primary {
			continue
		}
		switch sight.State {
		case Silent:
			silent = append(silent, host)
		case Leading:
			led = append(led, host)
			if sight.Since.After(latest) {
				latest = sight.Since
			}
		}
	}
	count = HostCounts{Silent: len(silent), Leading: len(led), Live: len(hosts)}
	if now.Sub(c.promotedAt) < c.Timing.Cooldown {
		return Keep, count, ""
	}
	if !c.leaderlessSince.IsZero() && now.Sub(c.leaderlessSince) >= c.Timing.PartialTimeout+c.staggerDelay(self, hosts) {
		return Failover, count, "no instance leads"
	}
	if c.primary == "" || now.Sub(c.primaryChangedAt) < c.Timing.SilenceTimeout {
		return Keep, count, ""
	}
	if verdict, reason := c.decideFailover(now, self, hosts, silent, led, latest); verdict != Keep {
		return verdict, count, reason
	}
	verdict, reason := c.decideSwitchover(now, self, hosts, silent, led, members)
	return verdict, count, reason
}

// decideFailover decides on a primary that nobody reaches.
func (c *Monitor) decideFailover(now time.Time, self model.HostID, hosts, silent, led []model.HostID, latest time.Time) (Decision, string) {
	if c.state != Silent || 2*len(silent) <= len(hosts) {
		return Keep, ""
	}
	if len(led) > 0 && now.Sub(latest) < c.Timing.SilenceTimeout+c.Timing.ProofMaxAge {
		return Keep, ""
	}
	silence := now.Sub(c.stateSince)
	if len(hosts) == 1 {
		if silence >= c.Timing.IsolatedTimeout {
			return Failover, "silent, and no other host is heard"
		}
		return Keep, ""
	}
	if silence >= c.Timing.SilenceTimeout+c.staggerDelay(self, silent) {
		return Failover, "silent to most hosts"
	}
	return Keep, ""
}

// decideSwitchover decides on a primary that leads, but leaves or reaches few hosts.
func (c *Monitor) decideSwitchover(now time.Time, self model.HostID, hosts, silent, led []model.HostID, members []Member) (Decision, string) {
	if c.state != Leading {
		return Keep, ""
	}
	leaving := slices.ContainsFunc(members, func(m Member) bool { return m.Instance == c.primary && m.Leaving })
	if leaving && now.Sub(c.primaryChangedAt) >= c.staggerDelay(self, led) {
		return Switchover, "leaving"
	}
	if 2*len(silent) <= len(hosts) {
		return Keep, ""
	}
	first := now
	for _, host := range silent {
		if since := c.peers[host].Since; since.Before(first) {
			first = since
		}
	}
	if now.Sub(first) >= c.Timing.PartialTimeout+c.staggerDelay(self, led) && now.Sub(c.stateSince) < c.Timing.ProofMaxAge {
		return Switchover, "silent to most hosts, but not to this one"
	}
	return Keep, ""
}

// staggerDelay returns how long this host lets the others among the acting ones go first.
func (c *Monitor) staggerDelay(self model.HostID, acting []model.HostID) time.Duration {
	acting = slices.Sorted(slices.Values(acting))
	return time.Duration(max(slices.Index(acting, self), 0)) * c.Timing.Stagger
}

// Prune drops the sights of hosts that are no longer live.
func (c *Monitor) Prune(live map[model.HostID]bool) {
	maps.DeleteFunc(c.peers, func(host model.HostID, _ Observation) bool { return !live[host] })
}

// Candidate is a replica that may take over.
type Candidate struct {
	Instance       model.InstanceID
	Received       model.Point
	SameDataCentre bool // in the data centre of the former primary
	Leaving        bool
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
			compareBool(candidate.SameDataCentre, best.SameDataCentre),
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
