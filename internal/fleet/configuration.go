package fleet

import (
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
	"redwingspread/internal/view"
)

// noPolicy stands in while no configuration is in force; it defines no kinds of work.
var noPolicy = &config.Policy{}

// policy returns the configuration in force, or noPolicy.
func (m *Machine) policy() *config.Policy {
	if inForce := m.rollout.InForce(); inForce != nil {
		return inForce
	}
	return noPolicy
}

// handleHeader processes the header in the configuration's row. A nil header means a missing row only on the first read; later
// reads return just the changed rows.
func (m *Machine) handleHeader(now time.Time, header *rollout.Header) []Action {
	if header == nil && m.headerRead {
		return nil
	}
	m.headerRead = true
	return m.handleRollout(now, rollout.RowSeen{Header: header})
}

// handleRollout passes an event to the rollout machine. It announces a configuration newly in force to the neighbours at once.
func (m *Machine) handleRollout(now time.Time, event rollout.Event) []Action {
	m.prunePeers(now)
	outcome := m.rollout.Handle(now, event)
	var actions []Action
	if outcome.Fetch != nil {
		actions = append(actions, FetchConfiguration{Fetch: *outcome.Fetch, Host: m.peerHost(outcome.Fetch.Peer)})
	}
	if outcome.Policy != nil || outcome.Stale != nil || outcome.FetchErr != nil {
		actions = append(actions, ReportConfiguration{Outcome: outcome})
	}
	if outcome.Policy != nil {
		m.dirty = true
		m.members.HeartbeatNow()
		actions = append(actions, m.sendHeartbeats(now)...)
	}
	return actions
}

// peerHost returns a host, with the address from its heartbeats if the host list has none.
func (m *Machine) peerHost(id model.HostID) model.Host {
	known := m.members.Host(id)
	if known.Address == "" {
		known.Address = m.peerAddresses[id]
	}
	return known
}

// prunePeers removes dead hosts from the rollout after a change of the members.
func (m *Machine) prunePeers(now time.Time) {
	if m.prunedEpoch == m.members.Epoch() {
		return
	}
	m.prunedEpoch = m.members.Epoch()
	hosts := m.members.Hosts()
	for _, id := range m.rollout.Peers() {
		if known, listed := hosts[id]; !listed || known.Liveness == view.Dead {
			m.rollout.Handle(now, rollout.PeerGone{Host: id})
			delete(m.peerAddresses, id)
		}
	}
}
