package controller

import (
	"testing"
	"time"

	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// provedHealth makes the first instance a primary that proves itself to the hosts that probe it, and to those that they tell.
func (f *fleet) provedHealth() {
	f.health = func(host model.HostID, instance model.InstanceID) failover.Health {
		if instance != "i0" {
			return failover.Health{LastRefusal: time.Unix(999, 0)}
		}
		health := failover.Health{}
		if newest := max(f.proofs[host].SentAt, f.observed[host].SentAt); newest != 0 {
			health.Term, health.LastProof = 1, time.Unix(0, int64(newest))
		}
		return health
	}
}

// TestIdleProbes checks that the primary of a crowded instance is probed by a few hosts while nothing fails, that all hosts
// still learn its position in time for the reads of replicas, and that all probe it once it is silent.
func TestIdleProbes(t *testing.T) {
	const (
		span   = 6 * time.Second
		maxAge = 1200 * time.Millisecond // of a position, within the least age that reads accept
	)
	tests := map[string]struct {
		hosts     int
		maxProbes int // probes a second of all hosts
	}{
		"fewer hosts than connections": {hosts: 8, maxProbes: 10},
		"more hosts than connections":  {hosts: 30, maxProbes: 10},
		"a hundred hosts":              {hosts: 100, maxProbes: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(test.hosts, 16)
			f.provedHealth()
			f.run(5 * time.Second)
			clear(f.probes)
			f.run(span)
			total := 0
			for _, probes := range f.probes {
				total += probes
			}
			if got := total / int(span/time.Second); got > test.maxProbes {
				t.Errorf("got %d probes a second, want at most %d", got, test.maxProbes)
			}
			for _, id := range f.hosts() {
				newest := max(f.proofs[id].SentAt, f.observed[id].SentAt)
				if got := model.Instant(f.now.UnixNano()).Sub(newest); got > maxAge {
					t.Errorf("got a position of %v at %s, want at most %v", got, id, maxAge)
				}
			}
			lostAt := f.now
			clear(f.probes)
			f.health = func(_ model.HostID, instance model.InstanceID) failover.Health {
				if instance == "i0" {
					return failover.Health{Term: 1, LastProof: lostAt, SilentSince: lostAt.Add(time.Millisecond)}
				}
				return failover.Health{LastRefusal: f.now}
			}
			f.run(2 * time.Second)
			if got := len(f.probes); got != test.hosts {
				t.Errorf("got %d hosts that probe a silent primary, want %d", got, test.hosts)
			}
			if len(f.changes) == 0 {
				t.Error("got no change of a lost primary, want one")
			}
		})
	}
}

// TestProbeConnections guards against hosts that all keep a connection to a primary for probes: where all lost power, the instance would still
// count them when the hosts return.
func TestProbeConnections(t *testing.T) {
	tests := map[string]struct {
		hosts       int
		connections model.Connections
		want        int // hosts that keep one to the primary
	}{
		"crowded, with scouts":          {hosts: 60, connections: 46, want: 6},
		"homes, and every host probes":  {hosts: 35, connections: 46},
		"fewer hosts than half of them": {hosts: 9, connections: 46},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := 0
			for self := range test.hosts {
				shares := holdersView(self, test.hosts, test.connections, func(int, *Host) {}, func(now time.Time, c *Controller) {
					c.health = map[model.InstanceID]failover.Health{"i0": {Instance: "i0", Term: 1, LastProof: now}}
					for id, known := range c.hosts {
						c.Handle(now, HeartbeatReceived{Heartbeat: Heartbeat{Host: id, Incarnation: known.Incarnation, Sequence: 1}})
					}
					c.Handle(now, Tick{Instances: []InstanceReport{{Health: failover.Health{Instance: "i0", Term: 1, LastProof: now}}}})
				})
				if shares["i0"].Probes {
					got++
				}
				if shares["i1"].Probes {
					t.Errorf("got a connection for probes of a replica at host %d, want none", self)
				}
			}
			if got != test.want {
				t.Errorf("got %d hosts that keep a connection to the primary for probes, want %d", got, test.want)
			}
		})
	}
}
