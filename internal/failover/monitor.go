package failover

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingspread/internal/model"
)

// State is the state of a primary as observed by one host.
type State string

// The states of a primary.
const (
	Leading State = "led"     // the instance proved that it is the primary
	Silent  State = "silent"  // the instance does not answer
	Unknown State = "unknown" // neither is established
)

// Observation is what one host observes of the instance that it takes for the primary.
type Observation struct {
	Instance   model.InstanceID
	Term       model.Term
	State      State
	Since      time.Time // time of the last proof (Leading) or of the first failure (Silent)
	ReceivedAt time.Time // time at which the observation arrived from another host
}

// Health is what this host's requests and probes show about one instance.
type Health struct {
	Instance    model.InstanceID
	Term        model.Term // term of the newest proof
	LastProof   time.Time  // time of the newest proof to this host that the instance is the primary
	RemoteProof time.Time  // time of the newest such proof to another host, which passed it on
	LastRefusal time.Time  // time of the newest refusal because it is not the primary
	SilentSince time.Time  // time of the first failure since the last answer; zero while it answers
	Overdue     bool       // whether an answer is overdue
}

// Proved returns the time of the newest proof that the instance is the primary, to this or to another host.
func (h Health) Proved() time.Time {
	if h.RemoteProof.After(h.LastProof) {
		return h.RemoteProof
	}
	return h.LastProof
}

// Timing holds the timeouts and intervals of a monitor.
type Timing struct {
	SilenceTimeout    time.Duration // time without an answer after which a primary is silent
	IsolatedTimeout   time.Duration // silence after which a host that sees no other live host fails over
	PartialTimeout    time.Duration // silence towards a majority of the hosts after which a primary that still answers some is switched over
	ObjectionTime     time.Duration // further silence after which fewer than half of the live hosts fail over, for the others to probe the primary and object
	Stagger           time.Duration // delay between the hosts that may act, in order of their ids
	Cooldown          time.Duration // minimum time between two changes of a primary, against flapping
	ProofMaxAge       time.Duration // age up to which a proof counts, on top of the timeout or interval in question
	ProbeInterval     time.Duration // time between two probes of an idle primary
	FastProbeInterval time.Duration // time between two probes of a primary in doubt
	ReturnGrace       time.Duration // time that a lost primary has to return before a replica far behind is promoted
	ChangeTimeout     time.Duration // time after which a loss that no change has ended counts as lasting
}

// DefaultTiming returns the timing used in production.
func DefaultTiming() Timing {
	return Timing{
		SilenceTimeout:    500 * time.Millisecond,  // two successive probes
		IsolatedTimeout:   3 * time.Second,         // such a host is more likely cut off itself than the primary lost
		PartialTimeout:    1500 * time.Millisecond, // a switchover interrupts writes for about as long
		ObjectionTime:     500 * time.Millisecond,  // a probe, its answer, and an urgent heartbeat in a fleet of 60 hosts
		Stagger:           400 * time.Millisecond,  // duration of a complete failover without faults
		Cooldown:          4 * time.Second,         // several times the write interruption of one change
		ProofMaxAge:       300 * time.Millisecond,  // covers the time between two heartbeats
		ProbeInterval:     900 * time.Millisecond,  // keeps the primary's last known position within the ages that reads accept
		FastProbeInterval: 150 * time.Millisecond,  // a few round trips between regions
		ReturnGrace:       2 * time.Second,         // duration of an instance restart
		ChangeTimeout:     10 * time.Second,        // two attempts at a change, the cooldown between them included
	}
}

// Promotion is the newest promotion of a database that the platform's store records.
type Promotion struct {
	Instance model.InstanceID
	Token    model.Token  // fencing token of the promotion
	Holder   model.HostID // host that ordered the promotion
}

// Monitor tracks the primary of one database on one host; it is not safe for concurrent use.
type Monitor struct {
	Timing Timing
	// Unfenced is set where the platform doesn't stop a primary when it promotes another instance: the newest promotion names
	// the only instance that may be used as the primary.
	Unfenced bool
	// ReleaseTime is how long an unfenced primary may still be used after the decision to replace it.
	ReleaseTime time.Duration
	// Observers are the hosts that keep connections to the primary and so observe it all the time; nil where all hosts do.
	Observers map[model.HostID]bool
	// VoteMaxAge is the age up to which another host's observation counts without being repeated; zero for any age.
	VoteMaxAge time.Duration

	primary          model.InstanceID               // empty while no primary is known
	term             model.Term                     // newest term in which a primary was proven
	state            State                          // state of the primary as observed by this host
	stateSince       time.Time                      // time of the last proof (Leading) or of the first failure (Silent)
	ownState         State                          // what this host observes itself, where that differs from state; empty otherwise
	ownSince         time.Time                      // time of the last own proof (Leading) or of the first failure (Silent)
	lastSilent       time.Time                      // time at which this host last observed a primary as silent
	suspectedSince   time.Time                      // time since which other hosts find the primary silent; zero while none does
	objected         bool                           // the primary has proved itself to this host since then
	promotion        Promotion                      // newest known promotion
	peers            map[model.HostID]Observation   // newest observation of each other host
	primaryChangedAt time.Time                      // time of the last change of primary
	promotedAt       time.Time                      // time at which the newest promotion became known
	leaderlessSince  time.Time                      // time since which every instance that may be primary denies it; zero while one doesn't
	unheard          bool                           // an instance that can't be the primary has not answered
	lastProbe        map[model.InstanceID]time.Time // time of the newest probe of each instance
}

// New returns a monitor without any observation.
func New(timing Timing) *Monitor {
	return &Monitor{
		Timing:    timing,
		state:     Unknown,
		peers:     make(map[model.HostID]Observation),
		lastProbe: make(map[model.InstanceID]time.Time),
	}
}

// Observation returns what this host knows of the primary, from its own observation and from what other hosts passed on.
func (m *Monitor) Observation() Observation {
	return Observation{Instance: m.primary, Term: m.term, State: m.state, Since: m.stateSince}
}

// OwnObservation returns what this host observes of the primary itself. A proof that another host passed on is that host's
// observation, not one of this host.
func (m *Monitor) OwnObservation() Observation {
	own := m.Observation()
	if m.ownState != "" {
		own.State, own.Since = m.ownState, m.ownSince
	}
	return own
}

// Reports reports whether this host tells others what it observes: the primary is silent to it or to another host, or was so
// within the time for which others count that.
func (m *Monitor) Reports(now time.Time) bool {
	if m.primary == "" {
		return false
	}
	recently := !m.lastSilent.IsZero() && now.Sub(m.lastSilent) <= m.VoteMaxAge
	return m.OwnObservation().State == Silent || m.SuspectedByPeer(now) || recently
}

// PromotedAt returns the time at which the newest promotion became known.
func (m *Monitor) PromotedAt() time.Time { return m.promotedAt }

// Promotion returns the newest known promotion.
func (m *Monitor) Promotion() Promotion { return m.promotion }

// SetPeer stores another host's observation.
func (m *Monitor) SetPeer(host model.HostID, observation Observation) { m.peers[host] = observation }

// RecordPromotion records a promotion read from the store; one with an older token is ignored.
func (m *Monitor) RecordPromotion(now time.Time, newest Promotion) {
	if newest.Token <= m.promotion.Token {
		return
	}
	m.promotion = newest
	m.promotedAt = now
}

// Member is an instance of the database as listed in the directory.
type Member struct {
	Instance      model.InstanceID
	ClaimsPrimary bool // whether its directory entry names it as primary
	Leaving       bool // whether it is marked as leaving
	Missing       bool // whether its directory entry has disappeared, as that of an instance that no longer runs
}

// UpdatePrimary selects the primary: from proofs first, then from the newest promotion, then from the directory.
//
// It reports whether the primary or its state changed, and what the selection is based on.
func (m *Monitor) UpdatePrimary(now time.Time, members []Member, health map[model.InstanceID]Health) (bool, string) {
	previous, previousState := m.primary, m.state
	m.updateLeaderless(now, members, health)
	reason := m.selectPrimary(members, health)
	h := health[m.primary]
	switch {
	case m.primary == "":
		m.state = Unknown
	case !h.SilentSince.IsZero() && h.SilentSince.After(h.Proved()):
		if now.Sub(h.SilentSince) >= m.Timing.SilenceTimeout {
			m.state, m.stateSince = Silent, h.SilentSince
		}
	case h.Proved().After(h.LastRefusal) && now.Sub(h.Proved()) < m.Timing.ProbeInterval+m.Timing.ProofMaxAge:
		m.state, m.stateSince = Leading, h.Proved()
		m.term = max(m.term, h.Term)
	case h.LastRefusal.After(h.Proved()):
		m.state, m.stateSince = Unknown, h.LastRefusal
	case m.silentToSelf(now, h):
		m.state, m.stateSince = Silent, h.SilentSince // a proof that another host passed on is too old to count against it
	}
	if m.primary != previous {
		m.primaryChangedAt = now
		if m.state == Silent || previousState == Silent {
			m.state, m.stateSince = Unknown, now
		}
	}
	m.updateOwn(now, h)
	return m.primary != previous || m.state != previousState, reason
}

// silentToSelf reports whether the instance has not answered this host for the timeout, whatever it has proved to others.
func (m *Monitor) silentToSelf(now time.Time, h Health) bool {
	return !h.SilentSince.IsZero() && h.SilentSince.After(h.LastProof) && now.Sub(h.SilentSince) >= m.Timing.SilenceTimeout
}

// updateOwn updates what this host observes itself, given the health of the primary.
func (m *Monitor) updateOwn(now time.Time, h Health) {
	m.ownState = ""
	if m.state == Leading && h.RemoteProof.After(h.LastProof) {
		switch {
		case m.silentToSelf(now, h):
			m.ownState, m.ownSince = Silent, h.SilentSince
		case h.LastProof.After(h.LastRefusal):
			m.ownState, m.ownSince = Leading, h.LastProof
		default:
			m.ownState, m.ownSince = Unknown, m.stateSince
		}
	}
	if m.OwnObservation().State == Silent {
		m.lastSilent = now
	}
}

// updateLeaderless records since when no instance leads: each one that may lead denies it, as after a demotion without a promotion.
//
// Another one that doesn't answer doesn't keep the database without a primary: it may have crashed, or its entry may be wrong.
func (m *Monitor) updateLeaderless(now time.Time, members []Member, health map[model.InstanceID]Health) {
	denied, unheard := false, false
	for _, member := range members {
		if m.assigned() && member.Instance != m.promotion.Instance {
			continue // it is not used, whatever it says
		}
		h := health[member.Instance]
		switch {
		case h.LastRefusal.After(h.Proved()) && now.Sub(h.LastRefusal) <= m.Timing.SilenceTimeout && h.SilentSince.IsZero():
			denied = true
		case m.mayLead(member, h):
			m.leaderlessSince = time.Time{}
			return
		default:
			unheard = true
		}
	}
	m.unheard = unheard
	switch {
	case len(members) == 0 || (unheard && !denied):
		m.leaderlessSince = time.Time{} // this host may be cut off
	case m.leaderlessSince.IsZero():
		m.leaderlessSince = now
	}
}

// mayLead reports whether an instance that doesn't deny being primary may be it: its entry, the newest promotion or a proof in the newest
// term says so, or it is the last known primary. Nothing but a promotion makes any other instance the primary.
func (m *Monitor) mayLead(member Member, h Health) bool {
	proven := h.Proved().After(h.LastRefusal) && h.Term >= m.term
	return member.ClaimsPrimary || proven || member.Instance == m.primary || member.Instance == m.promotion.Instance
}

// leaderlessTimeout returns after which time without a primary another one is promoted. Instances that have not answered get the time to
// return, since they may hold more commits than the others.
func (m *Monitor) leaderlessTimeout() time.Duration {
	if m.unheard {
		return max(m.Timing.PartialTimeout, m.Timing.ReturnGrace)
	}
	return m.Timing.PartialTimeout
}

// selectPrimary selects the primary and returns what the selection is based on.
func (m *Monitor) selectPrimary(members []Member, health map[model.InstanceID]Health) string {
	if m.assigned() {
		return m.selectAssigned(members)
	}
	var proven, claimed model.InstanceID
	var best Health
	promoted := false
	for _, member := range members {
		h := health[member.Instance]
		if h.Proved().After(h.LastRefusal) && cmp.Or(cmp.Compare(h.Term, best.Term), h.Proved().Compare(best.Proved())) > 0 {
			proven, best = member.Instance, h
		}
		if member.ClaimsPrimary && !h.LastRefusal.After(h.Proved()) {
			claimed = member.Instance
		}
		if member.Instance == m.promotion.Instance && !h.LastRefusal.After(m.promotedAt) {
			promoted = true
		}
	}
	switch {
	case proven != "" && (best.Term > m.term || best.Term == m.term):
		m.primary = proven
		return "proof"
	case promoted && m.promotion.Instance != m.primary:
		m.primary = m.promotion.Instance
		return "promotion"
	case claimed != "" && (m.primary == "" || !contains(members, m.primary) || health[m.primary].LastRefusal.After(health[m.primary].Proved())):
		m.primary = claimed
		return "entry"
	case !contains(members, m.primary):
		m.primary = ""
		return "none"
	}
	return "unchanged"
}

// assigned reports whether only the newest promotion names the primary.
func (m *Monitor) assigned() bool { return m.Unfenced && m.promotion.Token > 0 }

// selectAssigned selects the instance of the newest promotion, and none while that instance is unknown.
func (m *Monitor) selectAssigned(members []Member) string {
	switch {
	case !contains(members, m.promotion.Instance):
		m.primary = ""
		return "none"
	case m.primary != m.promotion.Instance:
		m.primary = m.promotion.Instance
		return "promotion"
	}
	return "unchanged"
}

// contains reports whether the instance is one of the members.
func contains(members []Member, instance model.InstanceID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Instance == instance })
}

// SuspectedByPeer reports whether another host has recently observed the primary as silent.
func (m *Monitor) SuspectedByPeer(now time.Time) bool {
	for _, observation := range m.peers {
		if observation.Instance == m.primary && observation.State == Silent && now.Sub(observation.ReceivedAt) < time.Second {
			return true
		}
	}
	return false
}

// Changing reports whether the primary is likely to be replaced or confirmed soon: its loss is undecided, no instance leads, or a
// promotion is under way. A primary that stays lost for longer than ChangeTimeout counts as lost for good.
func (m *Monitor) Changing(now time.Time, health map[model.InstanceID]Health) bool {
	h := health[m.primary]
	switch {
	case m.state != Leading && !m.promotedAt.IsZero() && now.Sub(m.promotedAt) < max(m.Timing.ChangeTimeout, m.Timing.Cooldown+m.ReleaseTime):
		return true
	case m.state == Silent:
		return now.Sub(m.stateSince) < m.Timing.ChangeTimeout
	case m.primary != "" && !h.SilentSince.IsZero() && h.SilentSince.After(h.Proved()):
		return true // becomes Silent or is answered within the timeout
	case !m.leaderlessSince.IsZero():
		return now.Sub(m.leaderlessSince) < m.Timing.ChangeTimeout
	}
	return m.primary != "" && m.state != Leading && m.SuspectedByPeer(now)
}

// Objects reports, once for each time that other hosts begin to find the primary silent, that it has proved itself to this host
// since: they have to hear of it before they replace it.
func (m *Monitor) Objects(now time.Time) bool {
	if !m.SuspectedByPeer(now) {
		m.suspectedSince, m.objected = time.Time{}, false
		return false
	}
	if m.suspectedSince.IsZero() {
		m.suspectedSince = now
	}
	own := m.OwnObservation()
	if m.objected || own.State != Leading || !own.Since.After(m.suspectedSince) {
		return false
	}
	m.objected = true
	return true
}

// Decision is what to do about the primary.
type Decision uint8

// The decisions.
const (
	Keep       Decision = iota // leave the primary as it is
	Failover                   // the primary is lost; promote a replica
	Switchover                 // the primary works, but is leaving or unreachable from most hosts; demote it first
)

// HostCounts counts the live hosts, those of them that observe the primary themselves, and what these observe.
type HostCounts struct {
	Silent, Leading, Observing, Live int
}

// leastAgreeing is the number of hosts that have to find a primary silent where some live hosts don't observe it themselves, or all
// that observe it where there are fewer: the others may be right not to doubt it.
const leastAgreeing = 3

// votes are the live hosts that observe the primary themselves, by what they observe.
type votes struct {
	hosts       []model.HostID // live
	silent      []model.HostID
	leading     []model.HostID
	observing   int       // those that are silent or leading to it, and those that keep connections to it
	newestProof time.Time // to any of these hosts
}

// mostSilent reports whether enough of the observing hosts find the primary silent. Where all live hosts observe it, these are more
// than half; otherwise also at least leastAgreeing, and never fewer than two.
func (v *votes) mostSilent() bool {
	if 2*len(v.silent) <= v.observing {
		return false
	}
	return v.observing == len(v.hosts) || len(v.silent) >= max(min(leastAgreeing, v.observing), 2)
}

// count returns what the live hosts observe of the primary.
func (m *Monitor) count(now time.Time, self model.HostID, hosts []model.HostID) votes {
	v := votes{hosts: hosts}
	for _, host := range hosts {
		observation, known := m.peers[host]
		if host == self {
			observation, known = m.OwnObservation(), true
			observation.ReceivedAt = now
		} else if m.VoteMaxAge > 0 && now.Sub(observation.ReceivedAt) > m.VoteMaxAge {
			known = false
		}
		observing := m.Observers == nil || m.Observers[host]
		switch {
		case !known || observation.Instance != m.primary:
		case observation.State == Silent:
			v.silent = append(v.silent, host)
			observing = true
		case observation.State == Leading:
			v.leading = append(v.leading, host)
			observing = observing || observation.ReceivedAt.Sub(observation.Since) <= m.Timing.ProbeInterval+m.Timing.ProofMaxAge
			if observation.Since.After(v.newestProof) {
				v.newestProof = observation.Since
			}
		}
		if observing {
			v.observing++
		}
	}
	return v
}

// Decide decides whether this host changes the primary now; hosts are the live ones, including this one, and known is the
// number of all hosts.
func (m *Monitor) Decide(now time.Time, self model.HostID, hosts []model.HostID, known int, members []Member) (Decision, HostCounts, string) {
	v := m.count(now, self, hosts)
	counts := HostCounts{Silent: len(v.silent), Leading: len(v.leading), Observing: v.observing, Live: len(hosts)}
	if now.Sub(m.promotedAt) < m.Timing.Cooldown+m.ReleaseTime {
		return Keep, counts, ""
	}
	mayFailOver := !m.Unfenced || 2*len(hosts) > known || m.primaryMissing(members)
	if mayFailOver && !m.leaderlessSince.IsZero() && now.Sub(m.leaderlessSince) >= m.leaderlessTimeout()+m.staggerDelay(self, hosts) {
		if m.unheard {
			return Failover, counts, "no instance that answers leads"
		}
		return Failover, counts, "no instance leads"
	}
	if m.primary == "" || now.Sub(m.primaryChangedAt) < m.Timing.SilenceTimeout {
		return Keep, counts, ""
	}
	if decision, reason := m.decideFailover(now, self, &v); decision != Keep && mayFailOver {
		return decision, counts, reason
	}
	decision, reason := m.decideSwitchover(now, self, &v, members)
	return decision, counts, reason
}

// primaryMissing reports whether the primary has no directory entry: hosts that hear only a minority of the hosts can't tell
// by themselves whether a silent primary still serves the others.
func (m *Monitor) primaryMissing(members []Member) bool {
	for _, member := range members {
		if member.Instance == m.primary {
			return member.Missing
		}
	}
	return true
}

// decideFailover decides whether a primary that this host and most others that observe it find silent is lost.
func (m *Monitor) decideFailover(now time.Time, self model.HostID, v *votes) (Decision, string) {
	if m.state != Silent || !v.mostSilent() {
		return Keep, ""
	}
	if len(v.leading) > 0 && now.Sub(v.newestProof) < m.Timing.SilenceTimeout+m.Timing.ProofMaxAge {
		return Keep, ""
	}
	silence := now.Sub(m.stateSince)
	if len(v.hosts) == 1 {
		if silence >= m.Timing.IsolatedTimeout {
			return Failover, "silent, and no other host is heard"
		}
		return Keep, ""
	}
	timeout := m.Timing.SilenceTimeout
	if 2*len(v.silent) <= len(v.hosts) {
		timeout += m.Timing.ObjectionTime
	}
	if silence >= timeout+m.staggerDelay(self, v.silent) {
		return Failover, "silent to most hosts"
	}
	return Keep, ""
}

// decideSwitchover decides whether a working primary has to move, since it is leaving or reachable from few hosts.
func (m *Monitor) decideSwitchover(now time.Time, self model.HostID, v *votes, members []Member) (Decision, string) {
	if m.state != Leading {
		return Keep, ""
	}
	leaving := slices.ContainsFunc(members, func(member Member) bool { return member.Instance == m.primary && member.Leaving })
	if leaving && now.Sub(m.primaryChangedAt) >= m.staggerDelay(self, withHost(v.leading, self)) {
		return Switchover, "leaving"
	}
	own := m.OwnObservation()
	if own.State != Leading || !v.mostSilent() {
		return Keep, ""
	}
	first := now
	for _, host := range v.silent {
		if since := m.peers[host].Since; since.Before(first) {
			first = since
		}
	}
	if now.Sub(first) >= m.Timing.PartialTimeout+m.staggerDelay(self, v.leading) && now.Sub(own.Since) < m.Timing.ProofMaxAge {
		return Switchover, "silent to most hosts, but not to this one"
	}
	return Keep, ""
}

// withHost returns the hosts with the given one among them.
func withHost(hosts []model.HostID, host model.HostID) []model.HostID {
	if slices.Contains(hosts, host) {
		return hosts
	}
	return append(slices.Clone(hosts), host)
}

// staggerDelay returns how long this host leaves the action to the hosts before it in id order.
func (m *Monitor) staggerDelay(self model.HostID, acting []model.HostID) time.Duration {
	acting = slices.Sorted(slices.Values(acting))
	return time.Duration(max(slices.Index(acting, self), 0)) * m.Timing.Stagger
}

// Prune removes the observations of hosts that are no longer live.
func (m *Monitor) Prune(live map[model.HostID]bool) {
	maps.DeleteFunc(m.peers, func(host model.HostID, _ Observation) bool { return !live[host] })
}

// Candidate is a replica that may be promoted.
type Candidate struct {
	Instance       model.InstanceID
	Received       model.Point
	Ordered        bool // whether the newest promotion names it; an order without an answer may still be carried out
	SameDataCentre bool // whether it is in the data centre of the previous primary
	Leaving        bool
	Former         bool // whether it is the primary to replace, which led and says by now that it is a replica
}

// Survey is what the replicas of a database say before one is promoted.
type Survey struct {
	Candidates []Candidate
	Unheard    []model.InstanceID // replicas that did not respond
}

// HoldsAcknowledged reports whether the candidate with the newest received point is known to hold every acknowledged commit of a
// database that acknowledges a commit once one replica has received it: each of the replicas may be that one, so all of them must
// be heard, unless the former primary is a candidate itself.
func (s Survey) HoldsAcknowledged() bool {
	return len(s.Unheard) == 0 || slices.ContainsFunc(s.Candidates, func(c Candidate) bool { return c.Former })
}

// Successor returns the best candidate: the one with the newest received point, since the commits that it lacks are lost.
//
// Points are received, not applied ones, since a promoted replica serves everything that it has received. Among equal points, one
// that stays is better than one that has to be replaced again soon, and the ordered instance better than another: if another one
// were promoted, a late order would take the lead from it.
func Successor(candidates []Candidate) (Candidate, bool) {
	var best Candidate
	found := false
	for _, candidate := range candidates {
		better := cmp.Or(
			candidate.Received.Compare(best.Received),
			compareBool(!candidate.Former, !best.Former),
			compareBool(!candidate.Leaving, !best.Leaving),
			compareBool(candidate.Ordered, best.Ordered),
			compareBool(candidate.SameDataCentre, best.SameDataCentre),
			cmp.Compare(best.Instance, candidate.Instance),
		) > 0
		if !found || better {
			best, found = candidate, true
		}
	}
	return best, found
}

// compareBool compares two booleans; false sorts before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
