package front

import (
	"errors"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/lane"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// drainLimit is the time for answers that follow the one that counts; they come in the same packet as a rule.
const drainLimit = 300 * time.Millisecond

// errAlign is why a connection is given up that did not take a session's values or prepared statements.
var errAlign = errors.New("the connection did not take the session's values")

// exchange is a statement sent with what belongs before and after it, and its answer.
type exchange struct {
	link   *link
	answer statement.Answer
	sent   bool // the statement may have reached the instance
	began  time.Time
	rest   int // answers that are still to come
	err    error
}

// exchange sends a statement outside transactions; where the primary is to prove that it leads, between a begin and a rollback.
//
// An instance that does not lead refuses the begin, so that a primary that was replaced never answers a read as if it led.
func (w *work) exchange(t target, turn *lane.Turn[*link]) (run exchange) {
	run.link = turn.Conn
	account := w.visit.account
	commands, aligned := turn.Conn.footing.Align(account, w.request.Statement, nil)
	before := len(commands)
	if t.proof {
		commands = append(commands, own(statement.Begin, model.Point{}))
	}
	commands = append(commands, statement.Command{ID: w.request.ID, Least: t.least, Statement: aligned})
	if t.proof {
		commands = append(commands, own(statement.Rollback, model.Point{}))
		run.rest = 1
	}
	now := time.Now()
	sent := clock.Boot()
	run.began = now
	t.member.asked(now)
	defer t.member.settled()
	run.sent = true
	if run.err = turn.Conn.Send(commands); run.err != nil {
		return run
	}
	limit := w.silence(now)
	if run.err = align(turn.Conn, before, limit); run.err != nil {
		return run
	}
	if t.proof {
		begun, err := turn.Conn.Receive(limit)
		if err != nil {
			run.err = err
			return run
		}
		t.member.answered(time.Now())
		if !begun.Done() {
			run.answer = begun
			run.rest = 2
			return run
		}
		t.member.led(sent, begun.Point)
	}
	run.answer, run.err = turn.Conn.Receive(limit)
	if run.err != nil {
		return run
	}
	t.member.note(sent, &run.answer, w.access == model.Write)
	if run.answer.Done() && t.least != (model.Point{}) {
		t.member.held()
	}
	return run
}

// align receives the answers to the commands that give a connection a session's values and prepared statements.
func align(l *link, count int, limit time.Time) error {
	for range count {
		answer, err := l.Receive(limit)
		if err != nil {
			return err
		}
		if !answer.Done() {
			return errAlign
		}
	}
	return nil
}

// note learns from an answer; one that only a primary gives proves that the instance led.
func (m *member) note(sent model.Instant, answer *statement.Answer, proves bool) {
	m.answered(time.Now())
	if answer.Point == (model.Point{}) {
		return
	}
	if answer.Done() && proves {
		m.led(sent, answer.Point)
	}
	m.saw(clock.Boot(), answer.Point)
}

// drain receives the answers that are still to come and reports whether the connection can be used again.
func (r *exchange) drain() bool {
	limit := time.Now().Add(drainLimit)
	state := r.answer.State
	for range r.rest {
		answer, err := r.link.Receive(limit)
		if err != nil {
			return false
		}
		state = answer.State
	}
	return state == statement.Idle
}
