package front

import (
	"errors"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/model"
	"redwingspread/internal/scheduler"
	"redwingspread/internal/statement"
)

// drainLimit is the time for answers that follow the one that counts; they come in the same packet as a rule.
const drainLimit = 300 * time.Millisecond

// errAlign is why a connection is given up that did not take a session's values or prepared statements.
var errAlign = errors.New("the connection did not take the session's values")

// exchange is a statement sent with what belongs before and after it, and its answer.
type exchange struct {
	member  *member
	link    *link
	answer  statement.Answer
	sent    bool // the statement may have reached the instance
	tail    int  // answers that are still to come
	next    bool // the last of them is that of a transaction begun for the next use
	began   time.Time
	moment  model.Instant // of sending
	version model.Version // of the configuration in force then
	err     error
}

// exchange sends a statement outside transactions; where the primary is to prove that it leads, within one of the host's.
func (w *work) exchange(t target, turn *scheduler.Permit[*link]) (run exchange) {
	run = exchange{member: t.member, link: turn.Conn, began: time.Now(), version: w.version}
	limit := w.silence(run.began)
	t.member.asked(run.began)
	defer t.member.settled()
	commands, aligned := turn.Conn.footing.Sync(w.visit.account, w.request.Statement, nil)
	if t.proof && turn.Conn.ready(w.version) {
		turn.Conn.begun = false // the values and the statement go into it
	} else if t.proof {
		if refused := run.begin(commands, limit); refused || run.err != nil {
			return run
		}
		commands = nil
	} else if turn.Conn.begun {
		commands = append([]statement.Command{own(statement.Rollback, model.Point{})}, commands...)
		turn.Conn.begun = false
	}
	before := len(commands)
	commands = append(commands, statement.Command{ID: w.request.ID, Least: t.least, Statement: aligned})
	commands = append(commands, run.after(t)...)
	run.sent, run.moment = true, clock.Boot()
	if run.err = turn.Conn.Send(commands); run.err != nil {
		return run
	}
	failed := align(turn.Conn, before, limit)
	if failed != nil && failed != errAlign {
		run.err = failed
		return run
	}
	run.answer, run.err = turn.Conn.Receive(limit)
	if run.err != nil {
		return run
	}
	if failed != nil && run.answer.Done() {
		run.err = failed
		return run
	}
	t.member.note(run.moment, &run.answer, t.proof || w.access == model.Write)
	if run.answer.Done() && t.least != (model.Point{}) {
		t.member.held()
	}
	return run
}

// after returns the commands that leave the connection ready for its next use.
func (r *exchange) after(t target) (commands []statement.Command) {
	if t.proof {
		commands = append(commands, own(statement.Rollback, model.Point{}))
	}
	if t.leads {
		commands = append(commands, own(statement.Begin, model.Point{}))
		r.next = true
	}
	r.tail = len(commands)
	return commands
}

// begin has the connection in a transaction of the host's, after the given commands outside of it, and reports whether
// the instance refused.
//
// The statement is sent only after the begin was answered: one that follows a refused begin would run by itself.
func (r *exchange) begin(commands []statement.Command, limit time.Time) (refused bool) {
	answer, err := r.link.begin(r.member, commands, limit)
	r.answer, r.err = answer, err
	return err == nil && !answer.Done()
}

// begin rolls an unused transaction back, sends the commands and begins a transaction.
func (l *link) begin(m *member, commands []statement.Command, limit time.Time) (answer statement.Answer, err error) {
	if l.begun {
		commands = append([]statement.Command{own(statement.Rollback, model.Point{})}, commands...)
		l.begun = false
	}
	before := len(commands)
	moment := clock.Boot()
	if err := l.Send(append(commands, own(statement.Begin, model.Point{}))); err != nil {
		return answer, err
	}
	if err := align(l, before, limit); err != nil {
		return answer, err
	}
	answer, err = l.Receive(limit)
	if err == nil {
		m.note(moment, &answer, true)
	}
	return answer, err
}

// align receives the answers to the commands that make a connection ready for a session; it returns errAlign when the
// instance refused one of them.
func align(l *link, count int, limit time.Time) (err error) {
	for range count {
		answer, receiveErr := l.Receive(limit)
		if receiveErr != nil {
			return receiveErr
		}
		if !answer.Done() {
			err = errAlign
		}
	}
	return err
}

// note learns from an answer; one that only a primary gives proves that the instance led.
func (m *member) note(sent model.Instant, answer *statement.Answer, proves bool) {
	m.answered(time.Now())
	if answer.Code == model.CodeNotPrimary {
		m.refused()
	}
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
	for left := r.tail; left > 0; left-- {
		answer, err := r.link.Receive(limit)
		if err != nil {
			return false
		}
		state = answer.State
		if r.next && left == 1 {
			r.link.keep(r.version, answer.Done())
			r.member.note(r.moment, &answer, true)
		}
	}
	if r.link.begun {
		return state == statement.Open
	}
	return state == statement.Idle
}

// settle rolls a transaction back that was begun ahead, so that commands run outside of one.
func (l *link) settle(limit time.Time) error {
	if !l.begun {
		return nil
	}
	l.begun = false
	if err := l.Send([]statement.Command{own(statement.Rollback, model.Point{})}); err != nil {
		return err
	}
	_, err := l.Receive(limit)
	return err
}

// ready reports whether a statement can go into the transaction that was begun ahead; one that was begun under another
// configuration serves no more.
func (l *link) ready(version model.Version) bool { return l.begun && l.version == version }
