package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// The time between two tries to fetch a configuration, which doubles with each failure.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Event is one of RowSeen, PeerSeen, Fetched, Accepted and Ticked.
type Event interface{ event() }

// RowSeen reports a read of the configuration's row; the head is nil when the table service has no row.
type RowSeen struct{ Header *Header }

// PeerSeen reports the version that a live peer has in force; a peer without any reports version 0, too.
type PeerSeen struct {
	Host    model.HostID
	Version model.Version
}

// PeerGone reports that a peer is no longer live.
type PeerGone struct{ Host model.HostID }

// Fetched reports the end of a fetch.
type Fetched struct {
	Action Action
	Policy *config.Policy // nil with an error
	Err    error
}

// Accepted reports a configuration that this host took from an operator and committed.
type Accepted struct{ Policy *config.Policy }

// Ticked reports that time has passed.
type Ticked struct{}

func (RowSeen) event()  {}
func (PeerSeen) event() {}
func (PeerGone) event() {}
func (Fetched) event()  {}
func (Accepted) event() {}
func (Ticked) event()   {}

// Action asks for one configuration: an object of the store when Head is set, the newest that a peer knows otherwise.
type Action struct {
	Header *Header
	Peer   model.HostID
}

// Source names where the action fetches from.
func (a Action) Source() string {
	if a.Header != nil {
		return fmt.Sprintf("object %s", a.Header.Object)
	}
	return fmt.Sprintf("host %s", a.Peer)
}

// Outcome is what follows from an event.
type Outcome struct {
	Fetch    *Action        // to be run; its end is reported as Fetched
	Policy   *config.Policy // newly in force, or nil
	Source   string         // where the policy came from
	FetchErr error          // why a fetch brought nothing
	Stale    *Stale         // the store has an older version than the one in force
}

// Stale tells that the store was set back.
type Stale struct {
	Stored  model.Version
	InForce model.Version
}

// Machine decides which configuration is in force on a host; it never goes back to an older one.
type Machine struct {
	inForce       *config.Policy
	header        *Header
	peers         map[model.HostID]model.Version
	fetching      bool
	retryAt       time.Time
	failures      int
	warnedVersion model.Version // newest stored version that Stale named
}

// New returns the machine of a host that knows no configuration yet.
func New() *Machine {
	return &Machine{peers: map[model.HostID]model.Version{}}
}

// Peers returns the hosts whose versions count.
func (m *Machine) Peers() []model.HostID {
	return slices.Sorted(maps.Keys(m.peers))
}

// PeerVersion returns the version that a peer last reported.
func (m *Machine) PeerVersion(peer model.HostID) model.Version {
	return m.peers[peer]
}

// InForce returns the configuration in force, or nil for a host that is not ready.
func (m *Machine) InForce() *config.Policy {
	return m.inForce
}

// Handle takes one event and returns what follows from it.
func (m *Machine) Handle(now time.Time, event Event) (outcome Outcome) {
	switch e := event.(type) {
	case RowSeen:
		m.handleRow(e.Header, &outcome)
	case PeerSeen:
		m.peers[e.Host] = e.Version
	case PeerGone:
		delete(m.peers, e.Host)
	case Fetched:
		m.finishFetch(now, e, &outcome)
	case Accepted:
		m.activate(e.Policy, "operator", &outcome)
	case Ticked:
	}
	m.startFetch(now, &outcome)
	return outcome
}

// handleRow takes a read of the row; a table service without the row has the built-in configuration.
func (m *Machine) handleRow(head *Header, outcome *Outcome) {
	if head == nil {
		if m.inForce == nil && m.newest() == 0 {
			m.activate(builtInPolicy(), "built in", outcome)
		}
		head = &Header{}
	}
	if m.inForce != nil && head.Version < m.inForce.Version && m.warnedVersion != m.inForce.Version {
		m.warnedVersion = m.inForce.Version
		outcome.Stale = &Stale{Stored: head.Version, InForce: m.inForce.Version}
	}
	if head.Version > 0 && (m.header == nil || head.Version > m.header.Version) {
		m.header = head
		m.retryAt = time.Time{}
	}
}

// finishFetch takes the end of a fetch.
func (m *Machine) finishFetch(now time.Time, e Fetched, outcome *Outcome) {
	m.fetching = false
	if e.Err != nil || e.Policy == nil || !m.newer(e.Policy.Version) {
		outcome.FetchErr = e.Err
		m.failures++
		m.retryAt = now.Add(m.retryDelay())
		return
	}
	m.failures = 0
	m.retryAt = time.Time{}
	if m.inForce == nil && e.Policy.Version < m.newest() {
		return // a host that starts serves the newest that it knows of, or nothing
	}
	m.activate(e.Policy, e.Action.Source(), outcome)
}

// retryDelay returns the time before the next try.
func (m *Machine) retryDelay() time.Duration {
	pause := minRetryDelay
	for failure := 1; failure < m.failures && pause < maxRetryDelay; failure++ {
		pause *= 2
	}
	return min(pause, maxRetryDelay)
}

// activate puts a configuration into force unless it is not newer.
func (m *Machine) activate(policy *config.Policy, source string, outcome *Outcome) {
	if policy == nil || !m.newer(policy.Version) {
		return
	}
	m.inForce = policy
	outcome.Policy = policy
	outcome.Source = source
}

// newer reports whether a version is newer than the one in force.
func (m *Machine) newer(version model.Version) bool {
	return m.inForce == nil || version > m.inForce.Version
}

// newest returns the newest version that the row or a live peer names.
func (m *Machine) newest() model.Version {
	var newest model.Version
	if m.header != nil {
		newest = m.header.Version
	}
	for _, version := range m.peers {
		newest = max(newest, version)
	}
	return newest
}

// startFetch asks for the newest known version when it is not in force and no fetch is under way.
func (m *Machine) startFetch(now time.Time, outcome *Outcome) {
	if m.fetching || now.Before(m.retryAt) || !m.newer(m.newest()) {
		return
	}
	sources := m.sources()
	if len(sources) == 0 {
		return
	}
	m.fetching = true
	outcome.Fetch = &sources[m.failures%len(sources)]
}

// sources lists where the newest known version can be had: the store first, then the peers in order.
func (m *Machine) sources() []Action {
	newest := m.newest()
	var sources []Action
	if m.header != nil && m.header.Version == newest {
		sources = append(sources, Action{Header: m.header})
	}
	hosts := make([]model.HostID, 0, len(m.peers))
	for host, version := range m.peers {
		if version == newest {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		sources = append(sources, Action{Peer: host})
	}
	return sources
}

// builtInPolicy returns the policy of the built-in configuration.
func builtInPolicy() *config.Policy {
	policy, err := config.Compile(0, config.Default())
	if err != nil {
		panic(err) // the built-in configuration is checked by a test
	}
	return policy
}
