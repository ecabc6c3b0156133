package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// Bounds of the delay between two attempts to fetch a configuration, which doubles with each failure.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Event is one of RowSeen, PeerSeen, PeerGone, Fetched, Accepted and Ticked.
type Event interface{ event() }

// RowSeen reports the newest header in the configuration's row; the header is nil when the table service has no row.
type RowSeen struct{ Header *Header }

// PeerSeen reports the version that a live peer has in force. A peer without a configuration also reports version 0.
type PeerSeen struct {
	Host    model.HostID
	Version model.Version
}

// PeerGone reports that a peer is no longer live.
type PeerGone struct{ Host model.HostID }

// Fetched reports the result of a fetch.
type Fetched struct {
	Action Action
	Policy *config.Policy // nil if Err is set
	Err    error
}

// Accepted reports a configuration that an operator sent to this host and that this host committed.
type Accepted struct{ Policy *config.Policy }

// Ticked lets the machine act on the time that has passed.
type Ticked struct{}

func (RowSeen) event()  {}
func (PeerSeen) event() {}
func (PeerGone) event() {}
func (Fetched) event()  {}
func (Accepted) event() {}
func (Ticked) event()   {}

// Action is a request to fetch a configuration: the object of the header if Header is set, else the newest configuration
// that the peer knows.
type Action struct {
	Header *Header
	Peer   model.HostID
}

// Source describes where the action fetches from.
func (a Action) Source() string {
	if a.Header != nil {
		return fmt.Sprintf("object %s", a.Header.Object)
	}
	return fmt.Sprintf("host %s", a.Peer)
}

// Effects holds what the caller of Handle has to do after an event: run a fetch and report changes and errors.
type Effects struct {
	Fetch    *Action        // fetch to run, whose result comes back as Fetched; or nil
	Policy   *config.Policy // configuration newly in force, or nil
	Source   string         // where Policy came from
	FetchErr error          // error of a failed fetch
	Stale    *Stale         // set once for each version in force, when the store has an older one
}

// Stale reports that the store holds an older version than the one in force, for example after a restore from a backup.
type Stale struct {
	Stored  model.Version // version in the store; 0 when the row is missing
	InForce model.Version // version in force on this host
}

// Machine decides which configuration is in force on a host; it never goes back to an older one.
type Machine struct {
	inForce       *config.Policy                 // nil at startup
	header        *Header                        // newest header seen in the row, or nil
	peers         map[model.HostID]model.Version // versions in force on the live peers
	fetching      bool                           // a fetch is running
	retryAt       time.Time                      // earliest time of the next fetch
	failures      int                            // fetches in a row that failed or brought nothing newer; also selects the next source
	warnedVersion model.Version                  // version in force of the last Stale report
}

// New returns the machine of a host without a configuration.
func New() *Machine {
	return &Machine{peers: map[model.HostID]model.Version{}}
}

// Peers returns the live peers, sorted.
func (m *Machine) Peers() []model.HostID {
	return slices.Sorted(maps.Keys(m.peers))
}

// PeerVersion returns the version that a peer last reported, or 0.
func (m *Machine) PeerVersion(peer model.HostID) model.Version {
	return m.peers[peer]
}

// InForce returns the configuration in force, or nil when there is none yet.
func (m *Machine) InForce() *config.Policy {
	return m.inForce
}

// Handle processes one event.
func (m *Machine) Handle(now time.Time, event Event) (effects Effects) {
	switch e := event.(type) {
	case RowSeen:
		m.handleRow(e.Header, &effects)
	case PeerSeen:
		m.peers[e.Host] = e.Version
	case PeerGone:
		delete(m.peers, e.Host)
	case Fetched:
		m.finishFetch(now, e, &effects)
	case Accepted:
		m.activate(e.Policy, "operator", &effects)
	case Ticked:
	}
	m.startFetch(now, &effects)
	return effects
}

// handleRow processes a read of the row. When the row is missing and no peer reports a version above 0, the built-in
// configuration comes into force.
func (m *Machine) handleRow(header *Header, effects *Effects) {
	if header == nil {
		if m.inForce == nil && m.newest() == 0 {
			m.activate(builtInPolicy(), "built in", effects)
		}
		header = &Header{}
	}
	if m.inForce != nil && header.Version < m.inForce.Version && m.warnedVersion != m.inForce.Version {
		m.warnedVersion = m.inForce.Version
		effects.Stale = &Stale{Stored: header.Version, InForce: m.inForce.Version}
	}
	if header.Version > 0 && (m.header == nil || header.Version > m.header.Version) {
		m.header = header
		m.retryAt = time.Time{}
	}
}

// finishFetch processes the result of a fetch.
func (m *Machine) finishFetch(now time.Time, e Fetched, effects *Effects) {
	m.fetching = false
	if e.Err != nil || e.Policy == nil || !m.newer(e.Policy.Version) {
		effects.FetchErr = e.Err
		m.failures++
		m.retryAt = now.Add(m.retryDelay())
		return
	}
	m.failures = 0
	m.retryAt = time.Time{}
	if m.inForce == nil && e.Policy.Version < m.newest() {
		return // at startup a host takes no configuration older than the newest it knows of
	}
	m.activate(e.Policy, e.Action.Source(), effects)
}

// retryDelay returns the delay before the next fetch.
func (m *Machine) retryDelay() time.Duration {
	delay := minRetryDelay
	for failure := 1; failure < m.failures && delay < maxRetryDelay; failure++ {
		delay *= 2
	}
	return min(delay, maxRetryDelay)
}

// activate puts a configuration into force if it is newer than the current one.
func (m *Machine) activate(policy *config.Policy, source string, effects *Effects) {
	if policy == nil || !m.newer(policy.Version) {
		return
	}
	m.inForce = policy
	effects.Policy = policy
	effects.Source = source
}

// newer reports whether a version is newer than the one in force.
func (m *Machine) newer(version model.Version) bool {
	return m.inForce == nil || version > m.inForce.Version
}

// newest returns the newest version that the row or a live peer reported.
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

// startFetch requests the newest known version, unless it is in force, a fetch is running or the retry delay has not passed.
func (m *Machine) startFetch(now time.Time, effects *Effects) {
	if m.fetching || now.Before(m.retryAt) || !m.newer(m.newest()) {
		return
	}
	sources := m.sources()
	if len(sources) == 0 {
		return
	}
	m.fetching = true
	effects.Fetch = &sources[m.failures%len(sources)]
}

// sources returns the places that hold the newest known version: the store first, then the peers sorted by id.
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

// builtInPolicy compiles the built-in configuration.
func builtInPolicy() *config.Policy {
	policy, err := config.Compile(0, config.Default())
	if err != nil {
		panic(err) // unreachable: a test compiles the built-in configuration
	}
	return policy
}
