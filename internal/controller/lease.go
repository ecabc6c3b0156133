package controller

import (
	"maps"
	"slices"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/lease"
	"redwingspread/internal/model"
)

// leaseSteps is the number of steps in which a lease is published, so that not every heartbeat changes the view.
const leaseSteps = 4

// leaseReadDivisor divides the duration of a lease to give the remaining time at which a host renews it from the store, and the
// time between two such reads.
const leaseReadDivisor = 2

// startLease creates the lease where the platform doesn't fence primaries.
func (c *Controller) startLease() {
	if !c.Unfenced {
		return
	}
	c.lease = lease.New()
	c.lease.Self = c.Self.ID
	c.lease.Interval = c.Timing.HeartbeatInterval
	c.lease.Fanout = heartbeatFanout
}

// updateLease records the time and which replaced primaries this host has stopped using.
func (c *Controller) updateLease(tick Tick) {
	if c.bootStarted == 0 {
		c.bootStarted = tick.Boot
	}
	if c.lease == nil {
		return
	}
	if c.boot == 0 {
		c.lease.Start(tick.Boot)
	}
	c.boot = tick.Boot
	c.lease.SetMembers(tick.Boot, slices.Collect(maps.Keys(c.hosts)))
	reports := make(map[model.InstanceID]model.Token, len(tick.Instances))
	for _, report := range tick.Instances {
		reports[report.Instance] = report.Released
	}
	pending := make(map[model.DatabaseID]bool)
	for id, instance := range c.directory.Directory().Instances {
		assigned := c.lease.Assigned(instance.Database)
		pending[instance.Database] = pending[instance.Database] || (id != assigned.Instance && reports[id] < assigned.Token)
	}
	for database := range c.promotions {
		assigned := c.lease.Assigned(database)
		if pending[database] || (c.changing[database] && c.claims[database] != assigned.Token) {
			continue // in use, or an order of this host under an older token may still be on its way
		}
		if c.lease.Release(c.boot, database, assigned.Token) {
			event.PrimaryReleased(c.Logger, database, assigned.Instance, assigned.Token)
			c.urgent = true
		}
	}
}

// claimed starts the wait for the hosts that may still use a replaced primary.
func (c *Controller) claimed(now time.Time, e PromotionClaimed) {
	if c.lease == nil {
		return
	}
	c.setPromotion(now, e.Promotion)
	c.claims[e.Promotion.Database] = e.Promotion.Token
	c.lease.Begin(c.boot, e.Promotion.Database, e.Promotion.Token, c.loneHosts(e.Hosts))
	c.urgent = true
}

// loneHosts returns the hosts that may hold a lease from the store: those whose rows say so, and those without a known row.
func (c *Controller) loneHosts(rows []Host) map[model.HostID]bool {
	lone := make(map[model.HostID]bool, len(c.hosts))
	for id := range c.hosts {
		lone[id] = true
	}
	for _, row := range rows {
		lone[row.ID] = row.Lone
	}
	return lone
}

// dueLeaseRead returns a read of the promotion rows when the lease is about to end, or nil.
func (c *Controller) dueLeaseRead() Action {
	if c.lease == nil || c.leaseRead || !c.hostsRead || c.stopping {
		return nil
	}
	margin := c.lease.Duration() / leaseReadDivisor
	if c.lastLeaseRead == 0 {
		c.lastLeaseRead = c.boot // other hosts confirm the first heartbeats
	}
	if c.lease.Until().Sub(c.boot) > margin || c.boot.Sub(c.lastLeaseRead) < margin {
		return nil
	}
	c.leaseRead, c.lastLeaseRead = true, c.boot
	return ReadPromotions{}
}

// finishLeaseRead processes the result of a ReadPromotions.
func (c *Controller) finishLeaseRead(now time.Time, e PromotionsRead) {
	c.leaseRead = false
	if e.Update == nil || c.lease == nil {
		return
	}
	c.updateMembership(now, *e.Update)
	c.lease.RowsRead(e.SentAt)
}

// leaseEnd returns the end of the lease to publish: the published one while the new one is little later.
func (c *Controller) leaseEnd() model.Instant {
	if c.lease == nil {
		return lease.Forever
	}
	until, published := c.lease.Until(), c.snapshot.Lease
	if until > published && until != lease.Forever && until.Sub(published) < c.lease.Duration()/leaseSteps {
		return published
	}
	return until
}

// settleTime is the time after which a host that has just started knows its primaries: it reads the tables and probes.
const settleTime = time.Second

// settledBy returns the time by which the host may use its primaries unless it is out of touch.
func (c *Controller) settledBy() model.Instant {
	settled := c.bootStarted.Add(settleTime)
	if c.lease != nil {
		settled = max(settled, c.lease.ExpectedBy())
	}
	return settled
}

// releaseTime returns how long other hosts may use a primary after they could have learnt that it is replaced.
func (c *Controller) releaseTime() time.Duration {
	if c.lease == nil {
		return 0
	}
	return c.lease.Duration() + c.Timing.HeartbeatInterval
}

// receiveLease processes the lease part of a heartbeat.
func (c *Controller) receiveLease(now time.Time, from model.HostID, message *lease.Message) {
	if c.lease == nil || message == nil {
		return
	}
	for _, assignment := range c.lease.Receive(c.boot, from, *message) {
		c.setPromotion(now, promotionOf(assignment))
	}
	if c.lease.Waiting() {
		c.urgent = true
	}
}

// promotionOf returns a promotion that another host has told of.
func promotionOf(assignment lease.Assignment) Promotion {
	return Promotion{
		Database:  assignment.Database,
		Promotion: failover.Promotion{Instance: assignment.Instance, Token: assignment.Token},
	}
}
