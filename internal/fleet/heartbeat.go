package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
)

// sendHeartbeats returns the heartbeats that are due.
func (m *Machine) sendHeartbeats(now time.Time) []Action {
	due := m.members.DueHeartbeats(now)
	if len(due) == 0 {
		return nil
	}
	heartbeat := m.nextHeartbeat()
	actions := make([]Action, 0, len(due))
	for _, id := range due {
		actions = append(actions, SendHeartbeat{Host: m.members.Host(id), Heartbeat: heartbeat})
	}
	return actions
}

// nextHeartbeat returns this host's next heartbeat, with updates taken from the gossip queues.
func (m *Machine) nextHeartbeat() Heartbeat {
	return Heartbeat{
		From:          m.Self.ID,
		Address:       m.Self.Address,
		Incarnation:   m.Incarnation,
		Sequence:      m.members.NextSequence(),
		Configuration: m.policy().Version,
		Leaving:       m.members.IsLeaving(),
		Members:       m.members.TakeUpdates(),
		Owners:        m.ownerGossip.Take(),
		Instances:     m.instanceGossip.Take(),
	}
}

// handleHeartbeatReceived processes a peer's heartbeat and answers it.
func (m *Machine) handleHeartbeatReceived(now time.Time, event HeartbeatReceived) []Action {
	actions := m.receiveHeartbeat(now, event.Heartbeat)
	if event.Answer != nil {
		actions = append(actions, AnswerHeartbeat{Answer: event.Answer, Heartbeat: m.nextHeartbeat()})
	}
	return actions
}

// handleHeartbeatResult processes the answer to a heartbeat, or its absence.
func (m *Machine) handleHeartbeatResult(now time.Time, event HeartbeatResult) []Action {
	if event.Err == nil {
		m.members.HeartbeatAnswered(event.Host)
		return m.receiveHeartbeat(now, event.Heartbeat)
	}
	m.members.HeartbeatMissed(now, event.Host)
	if m.members.DetectFailures(now) {
		return m.tick(now)
	}
	return m.sendHeartbeats(now)
}

// receiveHeartbeat processes the contents of a heartbeat.
func (m *Machine) receiveHeartbeat(now time.Time, heartbeat Heartbeat) []Action {
	epoch := m.members.Epoch()
	if heartbeat.Address != "" {
		m.seedPeer = model.Host{ID: heartbeat.From, Address: heartbeat.Address}
		m.peerAddresses[heartbeat.From] = heartbeat.Address
	}
	m.members.ReceiveHeartbeat(now, heartbeat.From, heartbeat.Incarnation, heartbeat.Sequence, heartbeat.Leaving, heartbeat.Configuration)
	for _, update := range heartbeat.Members {
		m.members.ReceiveUpdate(now, heartbeat.From, update)
	}
	for _, update := range heartbeat.Owners {
		m.applyOwnerUpdate(update)
	}
	var actions []Action
	for _, update := range heartbeat.Instances {
		actions = append(actions, m.handleInstanceUpdate(now, heartbeat.From, update)...)
	}
	m.members.DetectFailures(now)
	if m.members.Epoch() != epoch {
		m.dirty = true
		actions = append(actions, m.tick(now)...)
	}
	m.dirty = m.dirty || m.rollout.PeerVersion(heartbeat.From) != heartbeat.Configuration
	seen := rollout.PeerSeen{Host: heartbeat.From, Version: heartbeat.Configuration}
	return append(actions, m.handleRollout(now, seen)...)
}

// handleInstanceUpdate processes a peer's question about an instance, or its answer to such a question.
func (m *Machine) handleInstanceUpdate(now time.Time, from model.HostID, update InstanceUpdate) []Action {
	d := m.databaseByInstance[update.Instance]
	if d == nil || d.instances[update.Instance] == nil {
		return nil
	}
	target := d.instances[update.Instance]
	if !update.Asked {
		if target.missedCalls > 0 {
			target.reachableFrom[from] = update.Reachable
		}
		return m.reconcile(now, d)
	}
	if now.Sub(target.questionAt) >= m.Timing.ProbeInterval || target.questionFrom != from {
		target.questionAnswered = false
		target.nextCall[CallState] = now
	}
	target.questionAt = now
	d.questionAt = now
	target.questionFrom = from
	return m.reconcile(now, d)
}
