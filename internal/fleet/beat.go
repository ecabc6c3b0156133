package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
)

// beats sends the heartbeats that are due.
func (m *Machine) beats(now time.Time) []Action {
	due := m.members.DueHeartbeats(now)
	if len(due) == 0 {
		return nil
	}
	beat := m.beat()
	actions := make([]Action, 0, len(due))
	for _, id := range due {
		actions = append(actions, SendHeartbeat{Host: m.members.Host(id), Beat: beat})
	}
	return actions
}

// beat returns this host's next heartbeat with its share of the news.
func (m *Machine) beat() Heartbeat {
	return Heartbeat{
		From:          m.Self.ID,
		Address:       m.Self.Address,
		Incarnation:   m.Incarnation,
		Sequence:      m.members.NextSequence(),
		Configuration: m.policy().Version,
		Leaving:       m.members.IsLeaving(),
		Members:       m.members.TakeUpdates(),
		Owners:        m.owners.Take(),
		Instances:     m.reach.Take(),
	}
}

// heartbeatIn takes a peer's heartbeat and answers it.
func (m *Machine) heartbeatIn(now time.Time, event HeartbeatIn) []Action {
	actions := m.heard(now, event.Beat)
	if event.Answer != nil {
		actions = append(actions, AnswerHeartbeat{Answer: event.Answer, Beat: m.beat()})
	}
	return actions
}

// heartbeatSent takes the answer to a heartbeat, or its absence.
func (m *Machine) heartbeatSent(now time.Time, event HeartbeatSent) []Action {
	if event.Err == nil {
		m.members.HeartbeatAnswered(event.Host)
		return m.heard(now, event.Beat)
	}
	m.members.HeartbeatMissed(now, event.Host)
	if m.members.DetectFailures(now) {
		return m.tick(now)
	}
	return m.beats(now)
}

// heard takes everything that a heartbeat tells.
func (m *Machine) heard(now time.Time, beat Heartbeat) []Action {
	epoch := m.members.Epoch()
	if beat.Address != "" {
		m.seed = model.Host{ID: beat.From, Address: beat.Address}
		m.told[beat.From] = beat.Address
	}
	m.members.ReceiveHeartbeat(now, beat.From, beat.Incarnation, beat.Sequence, beat.Leaving, beat.Configuration)
	for _, news := range beat.Members {
		m.members.ReceiveUpdate(now, beat.From, news)
	}
	for _, news := range beat.Owners {
		m.hint(news)
	}
	var actions []Action
	for _, news := range beat.Instances {
		actions = append(actions, m.reached(now, beat.From, news)...)
	}
	m.members.DetectFailures(now)
	if m.members.Epoch() != epoch {
		m.dirty = true
		actions = append(actions, m.tick(now)...)
	}
	m.dirty = m.dirty || m.spread.PeerVersion(beat.From) != beat.Configuration
	seen := rollout.PeerSeen{Host: beat.From, Version: beat.Configuration}
	return append(actions, m.configure(now, seen)...)
}

// reached takes a question about an instance, or the answer to one.
func (m *Machine) reached(now time.Time, from model.HostID, news InstanceNews) []Action {
	d := m.instances[news.Instance]
	if d == nil || d.instances[news.Instance] == nil {
		return nil
	}
	member := d.instances[news.Instance]
	if !news.Asked {
		if member.missed > 0 {
			member.reports[from] = news.Reachable
		}
		return m.reconcile(now, d)
	}
	if now.Sub(member.asked) >= m.Timing.Probe || member.asker != from {
		member.reported = false
		member.next[CallState] = now
	}
	member.asked = now
	d.asked = now
	member.asker = from
	return m.reconcile(now, d)
}
