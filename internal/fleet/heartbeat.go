package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
)

// sendHeartbeats sends the heartbeats that are due.
func (m *Machine) sendHeartbeats(now time.Time) []Action {
	due := m.members.DueHeartbeats(now)
	if len(due) == 0 {
		return nil
	}
	beat := m.nextHeartbeat()
	actions := make([]Action, 0, len(due))
	for _, id := range due {
		actions = append(actions, SendHeartbeat{Host: m.members.Host(id), Heartbeat: beat})
	}
	return actions
}

// nextHeartbeat returns this host's next heartbeat with its share of the news.
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

// handleHeartbeatReceived takes a peer's heartbeat and answers it.
func (m *Machine) handleHeartbeatReceived(now time.Time, event HeartbeatReceived) []Action {
	actions := m.receiveHeartbeat(now, event.Heartbeat)
	if event.Answer != nil {
		actions = append(actions, AnswerHeartbeat{Answer: event.Answer, Heartbeat: m.nextHeartbeat()})
	}
	return actions
}

// handleHeartbeatSent takes the answer to a heartbeat, or its absence.
func (m *Machine) handleHeartbeatSent(now time.Time, event HeartbeatSent) []Action {
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

// receiveHeartbeat takes everything that a heartbeat tells.
func (m *Machine) receiveHeartbeat(now time.Time, beat Heartbeat) []Action {
	epoch := m.members.Epoch()
	if beat.Address != "" {
		m.seedPeer = model.Host{ID: beat.From, Address: beat.Address}
		m.peerAddresses[beat.From] = beat.Address
	}
	m.members.ReceiveHeartbeat(now, beat.From, beat.Incarnation, beat.Sequence, beat.Leaving, beat.Configuration)
	for _, news := range beat.Members {
		m.members.ReceiveUpdate(now, beat.From, news)
	}
	for _, news := range beat.Owners {
		m.applyOwnerUpdate(news)
	}
	var actions []Action
	for _, news := range beat.Instances {
		actions = append(actions, m.handleInstanceUpdate(now, beat.From, news)...)
	}
	m.members.DetectFailures(now)
	if m.members.Epoch() != epoch {
		m.dirty = true
		actions = append(actions, m.tick(now)...)
	}
	m.dirty = m.dirty || m.rollout.PeerVersion(beat.From) != beat.Configuration
	seen := rollout.PeerSeen{Host: beat.From, Version: beat.Configuration}
	return append(actions, m.handleRollout(now, seen)...)
}

// handleInstanceUpdate takes a question about an instance, or the answer to one.
func (m *Machine) handleInstanceUpdate(now time.Time, from model.HostID, news InstanceUpdate) []Action {
	d := m.databaseByInstance[news.Instance]
	if d == nil || d.instances[news.Instance] == nil {
		return nil
	}
	member := d.instances[news.Instance]
	if !news.Asked {
		if member.misses > 0 {
			member.reachableFrom[from] = news.Reachable
		}
		return m.reconcile(now, d)
	}
	if now.Sub(member.askedAt) >= m.Timing.ProbeInterval || member.asker != from {
		member.reported = false
		member.nextCall[CallState] = now
	}
	member.askedAt = now
	d.askedAt = now
	member.asker = from
	return m.reconcile(now, d)
}
