package instance

import (
	"slices"
	"time"

	"redwingspread/internal/model"
)

// maxBatch is the maximum number of log entries in one response.
const maxBatch = 1000

// logBatch is a batch of the primary's log entries, with the primary's term, end point and timeline.
type logBatch struct {
	term     model.Term
	point    model.Point // end of the primary's log
	timeline model.Timeline
	entries  []entry
}

// cursor is a replica's read position in the log of its primary.
type cursor struct {
	primary model.Address
	term    model.Term
	after   model.Point // end of the fetched log, applied or pending
}

// cursor returns the position from which the replica fetches. Its primary is empty if the instance follows none.
func (c *core) cursor() cursor {
	if c.role != model.RoleReplica {
		return cursor{}
	}
	after := c.log.lastPoint()
	if len(c.pending) > 0 {
		after = c.pending[len(c.pending)-1].point
	}
	return cursor{primary: c.primary, term: c.term, after: c.log.pointEndingAt(after)}
}

// readLog returns the log after a replica's point and whether it holds anything new to the replica.
func (c *core) readLog(now time.Time, replicaTerm model.Term, after model.Point) (batch logBatch, isNew bool, err error) {
	if c.role != model.RolePrimary {
		return batch, false, c.refuse(now, model.CodeUnavailable, "instance is %s", c.role)
	}
	if replicaTerm > c.term {
		return batch, false, c.refuse(now, model.CodeUnavailable, "term is %d, the replica's is %d", c.term, replicaTerm)
	}
	batch = logBatch{
		term:     c.term,
		point:    c.log.point(),
		timeline: slices.Clone(c.log.timeline),
		entries:  c.log.after(after.Position, maxBatch),
	}
	isNew = len(batch.entries) > 0 || replicaTerm != c.term || after != batch.point
	return batch, isNew, nil
}

// receive stores a batch of the primary's log. It ignores the batch if the cursor has moved since the request was sent.
func (c *core) receive(now time.Time, requested cursor, batch logBatch) {
	if c.cursor() != requested || batch.term < c.term {
		return
	}
	if c.updateTimeline(batch) && len(c.pending) > 0 {
		c.pending = nil
		return
	}
	commonPrefix := c.log.commonPrefix(batch.timeline, batch.point)
	if commonPrefix < model.Position(len(c.log.entries)) {
		c.log.truncate(commonPrefix)
		c.pending = nil
		c.notifyChange()
		return
	}
	c.pending = append(c.pending, batch.entries...)
	c.syncedAt = now
}

// updateTimeline adopts the primary's term and timeline and reports whether they have changed.
func (c *core) updateTimeline(batch logBatch) bool {
	if batch.term == c.term && slices.Equal(batch.timeline, c.log.timeline) {
		return false
	}
	c.term = batch.term
	c.log.timeline = slices.Clone(batch.timeline)
	c.notifyChange()
	return true
}

// applyDue applies the fetched entries that are at least as old as the lag. It returns the time until the next one is due, or 0
// if none is left.
func (c *core) applyDue(now time.Time, lag time.Duration) time.Duration {
	applied := 0
	for _, e := range c.pending {
		if e.committedAt.Add(lag).After(now) {
			break
		}
		c.log.apply(e)
		applied++
	}
	if applied > 0 {
		c.pending = slices.Delete(c.pending, 0, applied)
		c.notifyChange()
	}
	if len(c.pending) == 0 {
		return 0
	}
	return c.pending[0].committedAt.Add(lag).Sub(now)
}
