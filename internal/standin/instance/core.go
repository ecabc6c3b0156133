package instance

import (
	"fmt"
	"slices"
	"time"

	"redwingspread/internal/model"
)

// limits are the capacity limits of an instance.
type limits struct {
	slots       model.Slots
	connections model.Connections
	idleTimeout time.Duration
}

// core is the state of an instance. Only the instance's goroutine accesses it.
type core struct {
	id       model.InstanceID
	database model.DatabaseID
	limits   limits
	leaving  bool // whether the instance refuses new connections because it is leaving

	role    model.Role
	term    model.Term
	log     *replicatedLog
	changed chan struct{} // closed when the role, term or log changes

	slotsUsed    model.Slots
	openingCount model.Connections // number of connections that are being opened
	connections  map[model.ConnectionID]*connection
	openedCount  uint64    // number of connections opened so far
	startedAt    time.Time // makes connection ids unique across restarts

	primary  model.Address // primary that a replica follows
	pending  []entry       // fetched entries, not applied yet because of the lag
	syncedAt time.Time     // when the replica last received a batch of the primary's log; before that, when it started or stopped being primary
}

// firstTerm is the term in which a new database starts.
const firstTerm model.Term = 1

// newCore returns the state of a new instance: a replica of the given primary, or the primary if none is given.
func newCore(id model.InstanceID, database model.DatabaseID, limits limits, primary model.Address, now time.Time) *core {
	c := &core{
		id:          id,
		database:    database,
		limits:      limits,
		role:        model.RoleReplica,
		term:        firstTerm,
		log:         newReplicatedLog(),
		changed:     make(chan struct{}),
		connections: map[model.ConnectionID]*connection{},
		startedAt:   now,
		primary:     primary,
		syncedAt:    now,
	}
	c.log.timeline = model.Timeline{{Term: firstTerm}}
	if primary == "" {
		c.role = model.RolePrimary
	}
	return c
}

// notifyChange wakes the goroutines that wait for a change of the state.
func (c *core) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// state returns the state that the instance reports.
func (c *core) state(now time.Time) model.InstanceState {
	return model.InstanceState{
		Instance:        c.id,
		Database:        c.database,
		Role:            c.role,
		Term:            c.term,
		Point:           c.log.point(),
		Timeline:        slices.Clone(c.log.timeline),
		Age:             c.age(now),
		Slots:           c.limits.slots,
		SlotsUsed:       c.slotsUsed,
		Connections:     c.limits.connections,
		ConnectionsUsed: c.openingCount + model.Connections(len(c.connections)),
		Leaving:         c.leaving,
	}
}

// age returns how far the data is behind the primary.
func (c *core) age(now time.Time) model.Age {
	if c.role == model.RolePrimary {
		return 0
	}
	if len(c.pending) > 0 {
		return model.Age(now.Sub(c.pending[0].committedAt))
	}
	return model.Age(now.Sub(c.syncedAt))
}

// refuse returns a refusal that states that nothing ran and carries the instance's state.
func (c *core) refuse(now time.Time, code model.Code, format string, arguments ...any) *model.Refusal {
	state := c.state(now)
	return &model.Refusal{
		Code:    code,
		NotRun:  true,
		Message: fmt.Sprintf(format, arguments...),
		Term:    state.Term,
		State:   &state,
	}
}

// checkTerm refuses requests for a term other than the current one.
func (c *core) checkTerm(now time.Time, term model.Term) error {
	if term != c.term {
		return c.refuse(now, model.CodeWrongTerm, "term is %d, not %d", c.term, term)
	}
	return nil
}

// fence raises the term. A primary of a lower term then accepts no more work.
func (c *core) fence(now time.Time, term model.Term) (state model.InstanceState, err error) {
	if term < c.term {
		return state, c.refuse(now, model.CodeWrongTerm, "term is %d, not %d", c.term, term)
	}
	if term > c.term {
		c.raiseTerm(now, term)
	}
	return c.state(now), nil
}

// raiseTerm moves to a higher term, in which the instance is fenced. A former primary closes its connections.
func (c *core) raiseTerm(now time.Time, term model.Term) {
	c.term = term
	c.pending = nil
	if c.role == model.RolePrimary {
		c.syncedAt = now
		clear(c.connections)
	}
	c.role = model.RoleFenced
	c.notifyChange()
}

// promote makes the instance primary in its current term, and refuses any other term.
func (c *core) promote(now time.Time, term model.Term) (state model.InstanceState, err error) {
	if err := c.checkTerm(now, term); err != nil {
		return state, err
	}
	if c.role == model.RolePrimary {
		return c.state(now), nil
	}
	c.role = model.RolePrimary
	c.primary = ""
	c.pending = nil
	c.log.timeline = append(c.log.timeline, model.Point{Term: term, Position: c.log.point().Position})
	c.notifyChange()
	return c.state(now), nil
}

// follow makes the instance a replica of the term's primary.
func (c *core) follow(now time.Time, term model.Term, primary model.Address) (state model.InstanceState, err error) {
	if term < c.term {
		return state, c.refuse(now, model.CodeWrongTerm, "term is %d, not %d", c.term, term)
	}
	if term == c.term && c.role == model.RolePrimary {
		return state, c.refuse(now, model.CodeInvalid, "is primary of term %d", term)
	}
	if term > c.term {
		c.raiseTerm(now, term)
	}
	if c.primary != primary || c.role != model.RoleReplica {
		c.primary = primary
		c.role = model.RoleReplica
		c.pending = nil
		c.notifyChange()
	}
	return c.state(now), nil
}

// outcome returns the recorded result of a request.
func (c *core) outcome(now time.Time, term model.Term, request model.RequestID) (result model.Result, found bool, err error) {
	if err := c.checkTerm(now, term); err != nil {
		return result, false, err
	}
	e, found := c.log.find(request)
	if !found {
		return result, false, nil
	}
	return c.repeatedResult(e), true, nil
}

// repeatedResult returns the recorded result of an entry, marked as repeated.
func (c *core) repeatedResult(e entry) model.Result {
	result := resultOf(e.request, e.outcome, e.point)
	result.Repeated = true
	return result
}
