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
	if inForce := m.rollout.InForce(); inForce != nil {
		return inForce
	}
	return noPolicy
}

// handleHeader takes a read of the configuration's row; only the first read, which is of the whole table, tells that there is none.
func (m *Machine) handleHeader(now time.Time, head *rollout.Header) []Action {
	if head == nil && m.headerRead {
		return nil
	}
	m.headerRead = true
	return m.handleRollout(now, rollout.RowSeen{Header: head})
}

// handleRollout hands one event to the machine of configurations; a newly accepted one is told to the neighbours at once.
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

// peerHost returns where a host is, if need be by what it told of itself.
func (m *Machine) peerHost(id model.HostID) model.Host {
	known := m.members.Host(id)
	if known.Address == "" {
		known.Address = m.peerAddresses[id]
	}
	return known
}

// prunePeers takes dead hosts out of the choice of a configuration when the set of live hosts changed.
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
