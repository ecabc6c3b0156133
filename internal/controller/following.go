package controller

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingspread/internal/model"
)

const (
	// frequentFollowers is the number of live hosts up to which each one polls the store, and about the number that do in a
	// larger fleet.
	frequentFollowers = 12
	// leastFollowers is the least number of hosts of a data centre that poll the store.
	leastFollowers = 2
	// followerTimeout is the time without a heartbeat of a host that reaches the store after which this host polls it itself; a
	// third of the shortest time within which a configuration must be in force.
	followerTimeout = 2 * time.Second
	// fetchRetreat is how long a host polls the store itself after a fetch from another host has failed.
	fetchRetreat = 10 * time.Second
)

// Following is how a host learns what changes in the store.
type Following int

const (
	// FollowStore is for hosts that poll the store, from which the others learn.
	FollowStore Following = iota
	// FollowHosts is for hosts that learn from heartbeats and fetch changes from another host.
	FollowHosts
	// FollowEither is for hosts that know no other host which reaches the store: they poll it, seldom while it fails.
	FollowEither
)

// following decides how this host learns of changes.
func (c *Controller) following(now time.Time, live []model.HostID) Following {
	switch {
	case len(live) <= frequentFollowers || !c.hostsRead || c.follower(live):
		return FollowStore
	case now.Sub(c.followerHeard) > c.followerTimeout() || now.Sub(c.fetchFailed) < fetchRetreat:
		return FollowEither
	}
	return FollowHosts
}

// followerTimeout returns followerTimeout, or more where heartbeats of a few hosts arrive more rarely.
func (c *Controller) followerTimeout() time.Duration {
	return max(followerTimeout, time.Duration(c.rounds())*c.Timing.HeartbeatInterval/2)
}

// follower reports whether this host is one of those that poll the store for its data centre, by rendezvous hashing.
func (c *Controller) follower(live []model.HostID) bool {
	centres := map[model.DataCentreID]bool{c.Self.DataCentre: true}
	own, before := xxhash.Sum64String(string(c.Self.ID)), 0
	for _, id := range live {
		if id == c.Self.ID {
			continue
		}
		centre := c.hosts[id].DataCentre
		centres[centre] = true
		if centre == c.Self.DataCentre && xxhash.Sum64String(string(id)) < own {
			before++
		}
	}
	return before < max(leastFollowers, frequentFollowers/len(centres))
}

// reachesStore reports whether this host can tell others what changes in the store.
func (c *Controller) reachesStore() bool { return !c.storeLost && c.snapshot.Following != FollowHosts }

// Membership is what a host knows of the hosts' rows; it is immutable.
type Membership struct {
	Position   model.StorePosition
	Hosts      []Host // with a row
	Promotions []Promotion
}

// LostRows are the rows of the hosts' own table that the store has lost.
type LostRows struct {
	Host       bool // the host's own row
	Promotions []Promotion
}

// Lost returns what a full list of the rows lacks of the host's own row and of the promotions that the host knows.
func (m *Membership) Lost(self Host, listed MembershipUpdate) (lost LostRows) {
	lost.Host = !slices.ContainsFunc(listed.Hosts, func(row Host) bool {
		return row.ID == self.ID && (row.Incarnation > self.Incarnation || row.Incarnation == self.Incarnation && row.Lone == self.Lone)
	})
	tokens := make(map[model.DatabaseID]model.Token, len(listed.Promotions))
	for _, promotion := range listed.Promotions {
		tokens[promotion.Database] = promotion.Token
	}
	for _, known := range m.Promotions {
		if known.Token > tokens[known.Database] && known.Nonce != "" { // without a nonce only an assignment is known
			lost.Promotions = append(lost.Promotions, known)
		}
	}
	return lost
}

// updateKnown replaces the membership that other hosts can fetch when it has changed.
func (c *Controller) updateKnown() *Membership {
	if c.known != nil && c.known.Position == c.rows {
		return c.known
	}
	c.known = &Membership{Position: c.rows, Hosts: []Host{c.Self}}
	for _, known := range c.hosts {
		if known.DataCentre != "" {
			c.known.Hosts = append(c.known.Hosts, known.Host)
		}
	}
	for _, promotion := range c.promotions {
		c.known.Promotions = append(c.known.Promotions, promotion)
	}
	return c.known
}
