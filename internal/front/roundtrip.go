package front

import (
	"errors"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/lane"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// drainTimeout is the time for answers that follow the one that counts; they come in the same packet as a rule.
const drainTimeout = 300 * time.Millisecond

// errSetup is why a connection is given up that did not take a session's values or prepared statements.
var errSetup = errors.New("the connection did not take the session's values")

// roundTrip is a statement sent with what belongs before and after it, and its answer.
type roundTrip struct {
	backend     *backend
	conn        *pooledConn
	response    statement.Response
	sent        bool // the statement may have reached the instance
	pending     int  // answers that are still to come
	beginsNext  bool // the last of them is that of a transaction begun for the next use
	sentAt      time.Time
	sentInstant model.Instant // of sending
	version     model.Version // of the configuration in force then
	err         error
}

// sendAutocommit sends a statement outside transactions; where the primary is to prove that it leads, within one of the host's.
func (w *execution) sendAutocommit(t target, turn *lane.Turn[*pooledConn]) (run roundTrip) {
	run = roundTrip{backend: t.backend, conn: turn.Conn, sentAt: time.Now(), version: w.version}
	limit := w.responseDeadline(run.sentAt)
	t.backend.requestSent(run.sentAt)
	defer t.backend.requestDone()
	commands, aligned := turn.Conn.sessionState.Align(w.session.tracker, w.request.Statement, nil)
	if t.provesPrimary && turn.Conn.begunUnder(w.version) {
		turn.Conn.txBegun = false // the values and the statement go into it
	} else if t.provesPrimary {
		if refused := run.begin(commands, limit); refused || run.err != nil {
			return run
		}
		commands = nil
	} else if turn.Conn.txBegun {
		commands = append([]statement.Command{hostCommand(statement.Rollback, model.Point{})}, commands...)
		turn.Conn.txBegun = false
	}
	before := len(commands)
	commands = append(commands, statement.Command{ID: w.request.ID, MinPoint: t.minPoint, Statement: aligned})
	commands = append(commands, run.followUp(t)...)
	run.sent, run.sentInstant = true, clock.Boot()
	if run.err = turn.Conn.Send(commands); run.err != nil {
		return run
	}
	failed := receiveSetup(turn.Conn, before, limit)
	if failed != nil && failed != errSetup {
		run.err = failed
		return run
	}
	run.response, run.err = turn.Conn.Receive(limit)
	if run.err != nil {
		return run
	}
	if failed != nil && run.response.Succeeded() {
		run.err = failed
		return run
	}
	t.backend.observe(run.sentInstant, &run.response, t.provesPrimary || w.access == model.Write)
	if run.response.Succeeded() && t.minPoint != (model.Point{}) {
		t.backend.noteCaughtUp()
	}
	return run
}

// followUp returns the commands that leave the connection ready for its next use.
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

// begin has the connection in a transaction of the host's, after the given commands outside of it, and reports whether
// the instance refused.
//
// The statement is sent only after the begin was answered: one that follows a refused begin would run by itself.
func (r *roundTrip) begin(commands []statement.Command, limit time.Time) (refused bool) {
	answer, err := r.conn.begin(r.backend, commands, limit)
	r.response, r.err = answer, err
	return err == nil && !answer.Succeeded()
}

// begin rolls an unused transaction back, sends the commands and begins a transaction.
func (l *pooledConn) begin(m *backend, commands []statement.Command, limit time.Time) (answer statement.Response, err error) {
	if l.txBegun {
		commands = append([]statement.Command{hostCommand(statement.Rollback, model.Point{})}, commands...)
		l.txBegun = false
	}
	before := len(commands)
	moment := clock.Boot()
	if err := l.Send(append(commands, hostCommand(statement.Begin, model.Point{}))); err != nil {
		return answer, err
	}
	if err := receiveSetup(l, before, limit); err != nil {
		return answer, err
	}
	answer, err = l.Receive(limit)
	if err == nil {
		m.observe(moment, &answer, true)
	}
	return answer, err
}

// receiveSetup receives the answers to the commands that make a connection ready for a session; it returns errAlign when the
// instance refused one of them.
func receiveSetup(l *pooledConn, count int, limit time.Time) (err error) {
	for range count {
		answer, receiveErr := l.Receive(limit)
		if receiveErr != nil {
			return receiveErr
		}
		if !answer.Succeeded() {
			err = errSetup
		}
	}
	return err
}

// observe learns from an answer; one that only a primary gives proves that the instance led.
func (m *backend) observe(sent model.Instant, answer *statement.Response, proves bool) {
	m.noteResponse(time.Now())
	if answer.Code == model.CodeNotPrimary {
		m.noteNotPrimary()
	}
	if answer.Point == (model.Point{}) {
		return
	}
	if answer.Succeeded() && proves {
		m.notePrimary(sent, answer.Point)
	}
	m.notePoint(clock.Boot(), answer.Point)
}

// drain receives the answers that are still to come and reports whether the connection can be used again.
func (r *roundTrip) drain() bool {
	limit := time.Now().Add(drainTimeout)
	state := r.response.State
	for left := r.pending; left > 0; left-- {
		answer, err := r.conn.Receive(limit)
		if err != nil {
			return false
		}
		state = answer.State
		if r.beginsNext && left == 1 {
			r.conn.setBegun(r.version, answer.Succeeded())
			r.backend.observe(r.sentInstant, &answer, true)
		}
	}
	if r.conn.txBegun {
		return state == statement.Open
	}
	return state == statement.Idle
}

// rollbackBegun rolls a transaction back that was begun ahead, so that commands run outside of one.
func (l *pooledConn) rollbackBegun(limit time.Time) error {
	if !l.txBegun {
		return nil
	}
	l.txBegun = false
	if err := l.Send([]statement.Command{hostCommand(statement.Rollback, model.Point{})}); err != nil {
		return err
	}
	_, err := l.Receive(limit)
	return err
}

// begunUnder reports whether a statement can go into the transaction that was begun ahead; one that was begun under another
// configuration serves no more.
func (l *pooledConn) begunUnder(version model.Version) bool {
	return l.txBegun && l.txVersion == version
}
