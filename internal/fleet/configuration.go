package fleet

import (
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
	"redwingspread/internal/view"
)

// noPolicy is the policy of a host that is not ready; it knows no kind of work.
var noPolicy = &config.Policy{}

// policy returns the configuration in force, or one without any kind of work.
func (m *Machine) policy() *config.Policy {
	if inForce := m.spread.InForce(); inForce != nil {
		return inForce
	}
	return noPolicy
}

// headRead takes a read of the configuration's row; only the first read, which is of the whole table, tells that there is none.
func (m *Machine) headRead(now time.Time, head *rollout.Header) []Action {
	if head == nil && m.headSeen {
		return nil
	}
	m.headSeen = true
	return m.configure(now, rollout.RowSeen{Header: head})
}

// configure hands one event to the machine of configurations; a newly accepted one is told to the neighbours at once.
func (m *Machine) configure(now time.Time, event rollout.Event) []Action {
	m.forgetPeers(now)
	outcome := m.spread.Handle(now, event)
	var actions []Action
	if outcome.Fetch != nil {
		actions = append(actions, FetchConfiguration{Fetch: *outcome.Fetch, Host: m.peer(outcome.Fetch.Peer)})
	}
	if outcome.Policy != nil || outcome.Stale != nil || outcome.FetchErr != nil {
		actions = append(actions, ReportConfiguration{Outcome: outcome})
	}
	if outcome.Policy != nil {
		m.dirty = true
		m.members.HeartbeatNow()
		actions = append(actions, m.beats(now)...)
	}
	return actions
}

// peer returns where a host is, if need be by what it told of itself.
func (m *Machine) peer(id model.HostID) model.Host {
	known := m.members.Host(id)
	if known.Address == "" {
		known.Address = m.told[id]
	}
	return known
}

// forgetPeers takes dead hosts out of the choice of a configuration when the set of live hosts changed.
func (m *Machine) forgetPeers(now time.Time) {
	if m.spreadEpoch == m.members.Epoch() {
		return
	}
	m.spreadEpoch = m.members.Epoch()
	hosts := m.members.Hosts()
	for _, id := range m.spread.Peers() {
		if known, listed := hosts[id]; !listed || known.Liveness == view.Dead {
			m.spread.Handle(now, rollout.PeerGone{Host: id})
			delete(m.told, id)
		}
	}
}
