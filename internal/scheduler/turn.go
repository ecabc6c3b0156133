package scheduler

import (
	"context"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// Want describes one piece of work that asks for its turn.
type Want struct {
	Class    admit.Class
	Deadline time.Time // by which the work must be answered
	Keep     bool      // the connection is kept after the statement, for a transaction
}

// Turn is a connection and a slot that a piece of work may use.
type Turn[C any] struct {
	// Conn is the connection, valid until Done or Release, as the turn itself is.
	Conn C

	ticket  admit.Ticket[*Turn[C]]
	ready   chan *model.Refusal // nil is sent when the turn has come
	started time.Time
	pinning bool // waits for a connection to keep
	kept    bool
	running bool
}

// Take waits for a turn; the error is a *model.Refusal of work that has not run.
func (l *Lane[C]) Take(ctx context.Context, want Want) (turn *Turn[C], err error) {
	turn = l.newTurn(want)
	if refusal := l.admit(ctx, turn, want); refusal != nil {
		l.recycle(turn)
		return nil, refusal
	}
	turn.kept = want.Keep
	turn.running = true
	return turn, nil
}

// admit takes the turn through its waits: for a connection to keep, and for a slot.
func (l *Lane[C]) admit(ctx context.Context, turn *Turn[C], want Want) *model.Refusal {
	if want.Keep {
		if refusal := l.pin(ctx, turn); refusal != nil {
			return refusal
		}
	}
	if refusal := l.offer(turn); refusal != nil {
		l.unpin(want.Keep)
		return refusal
	}
	if refusal := l.wait(ctx, turn); refusal != nil {
		l.unpin(want.Keep)
		return refusal
	}
	return nil
}

// newTurn returns a turn, one that has ended where there is one, so that a decision costs no memory.
func (l *Lane[C]) newTurn(want Want) *Turn[C] {
	turn, found := l.turns.Get().(*Turn[C])
	if !found {
		turn = &Turn[C]{ready: make(chan *model.Refusal, 1)}
		turn.ticket.Value = turn
	}
	turn.ticket.Class = want.Class
	turn.ticket.Deadline = want.Deadline
	return turn
}

// recycle keeps a turn that has ended for another use; nobody may hold it any more.
func (l *Lane[C]) recycle(turn *Turn[C]) {
	var none C
	turn.Conn, turn.started = none, time.Time{}
	turn.pinning, turn.kept, turn.running = false, false, false
	l.turns.Put(turn)
}

// offer puts the turn into the queue.
func (l *Lane[C]) offer(turn *Turn[C]) *model.Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.begin()
	if l.stopping {
		return l.refusal(model.CodeStopping)
	}
	verdict, out, outVerdict := l.queue.Offer(l.Now(), &turn.ticket)
	if out != nil {
		l.refuse(out, code(outVerdict))
	}
	if verdict != admit.Wait {
		return l.refusal(code(verdict))
	}
	l.schedule()
	return nil
}

// wait returns nil when the turn has come, and a refusal when it does not come in time.
func (l *Lane[C]) wait(ctx context.Context, turn *Turn[C]) *model.Refusal {
	if refusal, told := l.await(ctx, turn); told {
		return refusal
	}
	return l.withdraw(turn)
}

// await returns what the turn is told, or false when its time is over or the context ends first.
func (l *Lane[C]) await(ctx context.Context, turn *Turn[C]) (refusal *model.Refusal, told bool) {
	select {
	case refusal = <-turn.ready:
		return refusal, true
	default:
	}
	timer := time.NewTimer(turn.ticket.Deadline.Sub(l.Now()))
	defer timer.Stop()
	select {
	case refusal = <-turn.ready:
		return refusal, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, false
}

// withdraw ends a wait from the caller's side; a turn that has just come is given back unused.
func (l *Lane[C]) withdraw(turn *Turn[C]) *model.Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.queue.Withdraw(l.Now(), &turn.ticket) {
		return l.refusal(model.CodeDeadline)
	}
	if refusal := <-turn.ready; refusal != nil {
		return refusal
	}
	l.queue.Cancel(&turn.ticket)
	l.giveBack(turn.Conn, true)
	l.used--
	l.schedule()
	return l.refusal(model.CodeDeadline)
}

// Done ends a turn whose connection is not kept; a connection that is not sound is closed.
func (l *Lane[C]) Done(turn *Turn[C], sound, ran bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rest(turn, ran)
	l.giveBack(turn.Conn, sound)
	l.recycle(turn)
	l.schedule()
}

// Rest frees the slot of a kept connection between two statements of its transaction.
func (l *Lane[C]) Rest(turn *Turn[C], ran bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rest(turn, ran)
	l.schedule()
}

// Resume takes a slot for the next statement on a kept connection, above the limit if need be.
func (l *Lane[C]) Resume(turn *Turn[C]) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.used++
	turn.started = l.Now()
	turn.running = true
}

// Release ends a transaction's hold of its connection; one that is not sound is closed, which rolls back.
func (l *Lane[C]) Release(turn *Turn[C], sound bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if turn.running {
		l.rest(turn, false)
	}
	l.giveBack(turn.Conn, sound)
	l.recycle(turn)
	l.held--
	l.grantPins()
	l.schedule()
}

// rest frees the turn's slot and learns the time of work that ran.
func (l *Lane[C]) rest(turn *Turn[C], ran bool) {
	l.used--
	turn.running = false
	now := l.Now()
	if ran {
		l.queue.Finish(now, &turn.ticket, now.Sub(turn.started))
	} else {
		l.queue.Cancel(&turn.ticket)
	}
}

// giveBack returns a connection to the pool or has it closed.
func (l *Lane[C]) giveBack(conn C, sound bool) {
	l.taken--
	if sound {
		l.Pool.Put(conn)
	} else {
		l.Pool.Discard(conn)
	}
}

// code returns the reason of the refusal that follows from a verdict.
func code(verdict admit.Verdict) model.Code {
	if verdict == admit.Late {
		return model.CodeDeadline
	}
	return model.CodeOverloaded
}

// Borrow returns an idle connection for a use beside the queue, and false when there is none.
func (l *Lane[C]) Borrow() (conn C, found bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if conn, found = l.Pool.Take(); found {
		l.taken++
	}
	return conn, found
}

// Return gives a borrowed connection back.
func (l *Lane[C]) Return(conn C, sound bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.giveBack(conn, sound)
	l.schedule()
}
