package front

import (
	"errors"
	"fmt"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
	"redwingspread/internal/scheduler"
	"redwingspread/internal/statement"
)

// drainTimeout limits the wait for the responses after the statement's own; they usually arrive in the same packet.
const drainTimeout = 300 * time.Millisecond

// Errors of the use of an instance as the primary.
var (
	errReplaced   = errors.New("another instance replaces the primary, or this host has lost touch with the others")
	errLeaseEnded = errors.New("the answer came after this host had lost touch with the others, so that another instance may lead")
)

// roundTrip is a statement sent together with its setup and follow-up commands, and its response.
type roundTrip struct {
	backend    *backend
	conn       *pooledConn
	response   statement.Response
	sent       bool // the statement may have reached the instance
	pending    int  // number of responses still to come
	beginsNext bool // the last of them is for a transaction begun for the next use
	startedAt  time.Time
	sentAt     model.Instant // boot-clock time at which the statement was sent
	version    model.Version // configuration version on arrival
	err        error
}

// sendAutocommit sends a statement outside transactions; if the instance must prove that it is the primary, it runs within one of the host's own.
func (e *execution) sendAutocommit(t target, permit *scheduler.Permit[*pooledConn]) (trip roundTrip) {
	trip = roundTrip{backend: t.backend, conn: permit.Conn, startedAt: time.Now(), version: e.version}
	limit := e.responseDeadline(trip.startedAt)
	t.backend.requestSent(trip.startedAt)
	defer t.backend.requestDone()
	commands, adapted := permit.Conn.connectionState.Sync(e.session.state, e.request.Statement, nil)
	if t.provesPrimary && permit.Conn.begunUnder(e.version) {
		permit.Conn.txBegun = false // the values and the statement become part of it
	} else if t.provesPrimary {
		if refused := trip.begin(e, commands, limit); refused || trip.err != nil {
			return trip
		}
		commands = nil
	} else {
		commands = permit.Conn.discardBegun(commands)
	}
	trip.sent, trip.sentAt = true, clock.Boot()
	own := statement.Command{ID: e.request.ID, MinPoint: t.minPoint, Statement: adapted}
	var refused error
	trip.response, refused, trip.err = permit.Conn.exchange(commands, own, trip.followUp(t), limit)
	e.recordSetup(refused)
	if trip.err != nil {
		return trip
	}
	t.backend.observe(trip.sentAt, &trip.response, t.provesPrimary || e.access == model.Write)
	e.noteResponse(t.backend, &trip.response)
	if trip.response.Succeeded() && t.minPoint != (model.Point{}) {
		t.backend.noteCaughtUp()
	}
	return trip
}

// followUp returns the commands that prepare the connection for its next use.
func (r *roundTrip) followUp(t target) (commands []statement.Command) {
	if t.provesPrimary {
		commands = append(commands, hostCommand(statement.Rollback, model.Point{}))
	}
	if t.primary {
		commands = append(commands, hostCommand(statement.Begin, model.Point{}))
		r.beginsNext = true
	}
	r.pending = len(commands)
	return commands
}

// begin prepares the connection outside a transaction and then begins a transaction of the host's own; it reports whether the
// instance refused.
//
// The statement must be sent only after the response to the begin: after a refused begin it would run outside a transaction.
func (r *roundTrip) begin(e *execution, setup []statement.Command, limit time.Time) (refused bool) {
	response, err := r.conn.begin(r.backend, setup, limit)
	e.recordSetup(err)
	r.response, r.err = response, err
	return err == nil && !response.Succeeded()
}

// begin prepares the connection, which rolls back an unused transaction, and begins a transaction.
func (c *pooledConn) begin(b *backend, setup []statement.Command, limit time.Time) (response statement.Response, err error) {
	setup = c.discardBegun(setup)
	sentAt := clock.Boot()
	if err := c.Send(append(setup, hostCommand(statement.Begin, model.Point{}))); err != nil {
		return response, err
	}
	if err := c.receiveSetup(setup, limit); err != nil {
		return response, err
	}
	response, err = c.Receive(limit)
	if err == nil {
		b.observe(sentAt, &response, true)
	}
	return response, err
}

// exchange sends the commands that prepare the connection, a statement and the commands after it as one batch, and receives the
// response to the statement and the refusal of its preparation, if there was one.
//
// After an error no further response is received: it could be that of another command. A statement that succeeded although its
// preparation was refused ran on a connection that was not the session's, which is an error too.
func (c *pooledConn) exchange(setup []statement.Command, own statement.Command, after []statement.Command, limit time.Time) (response statement.Response, refused, err error) {
	if err = c.Send(append(append(setup[:len(setup):len(setup)], own), after...)); err != nil {
		return response, nil, err
	}
	if err = c.receiveSetup(setup, limit); err != nil && !isSetupRefusal(err) {
		return response, nil, err
	}
	refused = err
	if response, err = c.Receive(limit); err != nil {
		return response, refused, err
	}
	if refused != nil && response.Succeeded() {
		response.Release()
		return response, refused, refused
	}
	c.noteDenied(&response)
	return response, refused, nil
}

// receiveSetup receives the responses to the commands that prepare the connection for a statement, and records what the instance
// has acknowledged; it returns the first refusal as a *setupError.
func (c *pooledConn) receiveSetup(commands []statement.Command, limit time.Time) (err error) {
	for _, command := range commands {
		response, receiveErr := c.Receive(limit)
		if receiveErr != nil {
			return receiveErr
		}
		response.Release()
		if command.Verb != statement.Rollback {
			c.connectionState.Acknowledge(command.Statement, response.Succeeded())
		}
		if !response.Succeeded() && err == nil {
			err = &setupError{verb: command.Verb, code: response.Code, state: response.State}
		}
	}
	return err
}

// setupNames names the commands that prepare a connection, for the log.
var setupNames = map[statement.Verb]string{
	statement.Reset: "reset", statement.Set: "value", statement.Prepare: "prepared statement", statement.Rollback: "rollback",
}

// stateNames names the states of a connection, for the log.
var stateNames = map[statement.State]string{statement.Idle: "idle", statement.Open: "open", statement.Failed: "failed"}

// setupError is the error of a command that prepares a connection and that the instance refused.
type setupError struct {
	verb  statement.Verb
	code  model.Code
	state statement.State // of the connection afterwards
}

// Error describes the refusal.
func (e *setupError) Error() string {
	return fmt.Sprintf("the instance refused to prepare the connection: %s, %s", setupNames[e.verb], e.code)
}

// isSetupRefusal reports whether an instance refused to prepare a connection, which then is still usable.
func isSetupRefusal(err error) bool {
	var refused *setupError
	return errors.As(err, &refused)
}

// recordSetup counts and logs the refusal of a command that prepares a connection, if the error is one.
func (e *execution) recordSetup(err error) {
	var refused *setupError
	if !errors.As(err, &refused) {
		return
	}
	e.session.host.counters.SetupRefused.Add(1)
	event.SetupRefused(e.session.host.Logger, e.request.ID, e.policy.ID, e.instanceID(), setupNames[refused.verb], refused.code, stateNames[refused.state])
}

// observe updates the backend from a response; a successful one that only a primary gives proves that the instance was the primary.
func (b *backend) observe(sent model.Instant, response *statement.Response, proves bool) {
	b.noteResponse(time.Now())
	if response.Code == model.CodeNotPrimary {
		b.noteNotPrimary()
	}
	if response.Point == (model.Point{}) {
		return
	}
	if response.Succeeded() && proves {
		b.notePrimary(sent, response.Point)
	}
	b.notePoint(clock.Boot(), response.Point)
}

// drain receives the remaining responses and reports whether the connection can be reused.
func (r *roundTrip) drain() bool {
	limit := time.Now().Add(drainTimeout)
	state := r.response.State
	for left := r.pending; left > 0; left-- {
		response, err := r.conn.Receive(limit)
		if err != nil {
			return false
		}
		response.Release()
		state = response.State
		if r.beginsNext && left == 1 {
			r.conn.setBegun(r.version, response.Succeeded())
			r.backend.observe(r.sentAt, &response, true)
		}
	}
	if r.conn.txBegun {
		return state == statement.Open
	}
	return state == statement.Idle
}

// noteDenied notes that the instance denies having a prepared statement that it had acknowledged.
func (c *pooledConn) noteDenied(response *statement.Response) {
	if response.Code == model.CodeNoStatement {
		c.connectionState.Distrust()
	}
}

// discardBegun puts the rollback of a transaction begun in advance before the commands.
func (c *pooledConn) discardBegun(commands []statement.Command) []statement.Command {
	if !c.txBegun {
		return commands
	}
	c.txBegun = false
	return append([]statement.Command{hostCommand(statement.Rollback, model.Point{})}, commands...)
}

// rollbackBegun rolls back a transaction begun in advance, so that commands run outside a transaction.
func (c *pooledConn) rollbackBegun(limit time.Time) error {
	if !c.txBegun {
		return nil
	}
	c.txBegun = false
	if err := c.Send([]statement.Command{hostCommand(statement.Rollback, model.Point{})}); err != nil {
		return err
	}
	_, err := c.Receive(limit)
	return err
}

// begunUnder reports whether a transaction begun in advance can be used; one begun under another configuration version
// can't.
func (c *pooledConn) begunUnder(version model.Version) bool {
	return c.txBegun && c.txVersion == version
}
