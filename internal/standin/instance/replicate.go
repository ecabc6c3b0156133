package instance

import (
	"slices"
	"time"

	"redwingspread/internal/model"
)

// maxBatch is the number of entries that one answer carries.
const maxBatch = 1000

// logBatch is a part of the primary's log.
type logBatch struct {
	term     model.Term
	point    model.Point
	timeline model.Timeline
	entries  []entry
}

// cursor is where a replica stands in whose log.
type cursor struct {
	primary model.Address
	term    model.Term
	after   model.Point
}

// cursor returns where the replica goes on; its primary is empty when there is none to follow.
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

// readLog returns the log past a replica's point and whether there is anything new in it.
func (c *core) readLog(now time.Time, replica model.Term, after model.Point) (part logBatch, isNew bool, err error) {
	if c.role != model.RolePrimary {
		return part, false, c.refuse(now, model.CodeUnavailable, "instance is %s", c.role)
	}
	if replica > c.term {
		return part, false, c.refuse(now, model.CodeUnavailable, "term is %d, the replica's is %d", c.term, replica)
	}
	part = logBatch{
		term:     c.term,
		point:    c.log.point(),
		timeline: slices.Clone(c.log.timeline),
		entries:  c.log.after(after.Position, maxBatch),
	}
	isNew = len(part.entries) > 0 || replica != c.term || after != part.point
	return part, isNew, nil
}

// receive stores a part of the primary's log, unless the replica has gone on since it asked.
func (c *core) receive(now time.Time, asked cursor, part logBatch) {
	if c.cursor() != asked || part.term < c.term {
		return
	}
	if c.updateTimeline(part) && len(c.pending) > 0 {
		c.pending = nil
		return
	}
	fork := c.log.commonPrefix(part.timeline, part.point)
	if fork < model.Position(len(c.log.entries)) {
		c.log.truncate(fork)
		c.pending = nil
		c.notifyChange()
		return
	}
	c.pending = append(c.pending, part.entries...)
	c.syncedAt = now
}

// updateTimeline takes over the primary's term and timeline and reports whether they are new.
func (c *core) updateTimeline(part logBatch) bool {
	if part.term == c.term && slices.Equal(part.timeline, c.log.timeline) {
		return false
	}
	c.term = part.term
	c.log.timeline = slices.Clone(part.timeline)
	c.notifyChange()
	return true
}

// applyDue applies the fetched entries that are as old as the lag and returns the time until the next, or 0.
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
