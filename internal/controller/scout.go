package controller

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/scout"
)

// askScout records what the primaries proved to this host, and returns a question to the scout when one is due.
func (c *Controller) askScout(tick Tick, now time.Time) []Action {
	c.boot = tick.Boot
	if !c.crowded {
		return nil
	}
	for _, report := range tick.Instances {
		if report.Proof.SentAt != 0 {
			c.scouts.Record(report.Proof)
		}
	}
	timeout := c.hostTimeout()
	live := make([]scout.Host, 0, len(c.hosts))
	for id, known := range c.hosts {
		if now.Sub(known.lastHeard) <= timeout && !known.heartbeat.Leaving && known.heartbeat.Sequence > 0 {
			live = append(live, scout.Host{ID: id, DataCentre: known.DataCentre})
		}
	}
	ask := c.scouts.Choose(c.boot, live)
	if ask == "" || c.stopping {
		return nil
	}
	return []Action{c.direct(ask, Heartbeat{Asked: c.boot})}
}

// receiveQuestion answers another host's question, and passes on the answer to an own one.
func (c *Controller) receiveQuestion(from *host, e HeartbeatReceived) (actions []Action) {
	if e.Heartbeat.Asked != 0 {
		c.scouts.Asked(e.ArrivedAt, from.ID, e.Heartbeat.Asked)
		actions = append(actions, c.direct(from.ID, Heartbeat{Proofs: c.scouts.Answer(from.ID)}))
	}
	if len(e.Heartbeat.Proofs) > 0 {
		if proofs := c.scouts.Answered(c.boot, from.ID, e.Heartbeat.Proofs); len(proofs) > 0 {
			actions = append(actions, ObserveProofs{Proofs: proofs})
		}
	}
	return actions
}

// direct returns the sending of a heartbeat to one host, with the fields that every heartbeat has.
func (c *Controller) direct(to model.HostID, heartbeat Heartbeat) Action {
	d := c.directory.Directory()
	c.sequence++
	c.directSent++
	heartbeat.Host, heartbeat.Incarnation, heartbeat.Sequence = c.Self.ID, c.Self.Incarnation, c.sequence
	heartbeat.Leaving, heartbeat.Version, heartbeat.Position = c.stopping, d.Version, d.Position
	heartbeat.Rows, heartbeat.Follows = c.rows, c.reachesStore()
	c.addLease(&heartbeat)
	return SendHeartbeat{To: []Receiver{c.receiver(to)}, Heartbeat: heartbeat}
}

// keepsProbe reports whether this host keeps a connection to the instance for its probes as a scout: it is the primary. A connection for
// each probe would take a slot for its setup several times a second, and more bytes than the probe.
//
// Without scouts every host probes, and their connections would leave an instance none for a return of all hosts. A host that has just
// started keeps none: where all hosts lost power, the instance still counts those that they had before.
func (c *Controller) keepsProbe(now time.Time, database model.DatabaseID, id model.InstanceID) bool {
	monitor, found := c.monitors[database]
	return c.crowded && found && monitor.Observation().Instance == id && c.scouts.Probes(c.boot) && now.Sub(c.started) >= c.Timing.Linger
}

// idleProbeInterval returns the time between two probes of a primary that nothing speaks against, or zero for none.
func (c *Controller) idleProbeInterval() time.Duration {
	switch {
	case !c.crowded:
		return c.Failover.ProbeInterval
	case c.scouts.Probes(c.boot):
		return scout.ProbeInterval
	}
	return 0
}
