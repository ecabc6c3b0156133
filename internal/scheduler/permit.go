package scheduler

import (
	"context"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// Request describes one piece of work that asks for its turn.
type Request struct {
	Class          admit.Class
	Deadline       time.Time // by which the work must be answered
	KeepConnection bool      // the connection is kept after the statement, for a transaction
}

// Permit is a connection and a slot that a piece of work may use.
type Permit[C any] struct {
	// Conn is the connection, valid until Done or Release, as the turn itself is.
	Conn C

	ticket        admit.Ticket[*Permit[C]]
	decision      chan *model.Refusal // nil is sent when the turn has come
	started       time.Time
	waitingForPin bool // waits for a connection to keep
	pinned        bool
	running       bool
}

// Acquire waits for a turn; the error is a *model.Refusal of work that has not run.
func (l *Scheduler[C]) Acquire(ctx context.Context, want Request) (turn *Permit[C], err error) {
	turn = l.newPermit(want)
	if refusal := l.waitForPermit(ctx, turn, want); refusal != nil {
		l.recycle(turn)
		return nil, refusal
	}
	turn.pinned = want.KeepConnection
	turn.running = true
	return turn, nil
}

// waitForPermit takes the turn through its waits: for a connection to keep, and for a slot.
func (l *Scheduler[C]) waitForPermit(ctx context.Context, turn *Permit[C], want Request) *model.Refusal {
	if want.KeepConnection {
		if refusal := l.pin(ctx, turn); refusal != nil {
			return refusal
		}
	}
	if refusal := l.enqueue(turn); refusal != nil {
		l.unpin(want.KeepConnection)
		return refusal
	}
	if refusal := l.waitForSlot(ctx, turn); refusal != nil {
		l.unpin(want.KeepConnection)
		return refusal
	}
	return nil
}

// newPermit returns a turn, one that has ended where there is one, so that a decision costs no memory.
func (l *Scheduler[C]) newPermit(want Request) *Permit[C] {
	turn, found := l.permits.Get().(*Permit[C])
	if !found {
		turn = &Permit[C]{decision: make(chan *model.Refusal, 1)}
		turn.ticket.Value = turn
	}
	turn.ticket.Class = want.Class
	turn.ticket.Deadline = want.Deadline
	return turn
}

// recycle keeps a turn that has ended for another use; nobody may hold it any more.
func (l *Scheduler[C]) recycle(turn *Permit[C]) {
	var none C
	turn.Conn, turn.started = none, time.Time{}
	turn.waitingForPin, turn.pinned, turn.running = false, false, false
	l.permits.Put(turn)
}

// enqueue puts the turn into the queue.
func (l *Scheduler[C]) enqueue(turn *Permit[C]) *model.Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applySettings()
	if l.stopping {
		return l.refusal(model.CodeStopping)
	}
	verdict, out, outVerdict := l.queue.Offer(l.Now(), &turn.ticket)
	if out != nil {
		l.refuse(out, refusalCode(outVerdict))
	}
	if verdict != admit.Wait {
		return l.refusal(refusalCode(verdict))
	}
	l.schedule()
	return nil
}

// waitForSlot returns nil when the turn has come, and a refusal when it does not come in time.
func (l *Scheduler[C]) waitForSlot(ctx context.Context, turn *Permit[C]) *model.Refusal {
	if refusal, told := l.awaitDecision(ctx, turn); told {
		return refusal
	}
	return l.cancelWait(turn)
}

// awaitDecision returns what the turn is told, or false when its time is over or the context ends first.
func (l *Scheduler[C]) awaitDecision(ctx context.Context, turn *Permit[C]) (refusal *model.Refusal, told bool) {
	select {
	case refusal = <-turn.decision:
		return refusal, true
	default:
	}
	timer := time.NewTimer(turn.ticket.Deadline.Sub(l.Now()))
	defer timer.Stop()
	select {
	case refusal = <-turn.decision:
		return refusal, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, false
}

// cancelWait ends a wait from the caller's side; a turn that has just come is given back unused.
func (l *Scheduler[C]) cancelWait(turn *Permit[C]) *model.Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.queue.Withdraw(l.Now(), &turn.ticket) {
		return l.refusal(model.CodeDeadline)
	}
	if refusal := <-turn.decision; refusal != nil {
		return refusal
	}
	l.queue.Cancel(&turn.ticket)
	l.returnConnection(turn.Conn, true)
	l.running--
	l.schedule()
	return l.refusal(model.CodeDeadline)
}

// FinishStatement ends a turn whose connection is not kept; a connection that is not sound is closed.
func (l *Scheduler[C]) FinishStatement(turn *Permit[C], sound, ran bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.freeSlot(turn, ran)
	l.returnConnection(turn.Conn, sound)
	l.recycle(turn)
	l.schedule()
}

// Suspend frees the slot of a kept connection between two statements of its transaction.
func (l *Scheduler[C]) Suspend(turn *Permit[C], ran bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.freeSlot(turn, ran)
	l.schedule()
}

// Resume takes a slot for the next statement on a kept connection, above the limit if need be.
func (l *Scheduler[C]) Resume(turn *Permit[C]) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.running++
	turn.started = l.Now()
	turn.running = true
}

// FinishTransaction ends a transaction's hold of its connection; one that is not sound is closed, which rolls back.
func (l *Scheduler[C]) FinishTransaction(turn *Permit[C], sound bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if turn.running {
		l.freeSlot(turn, false)
	}
	l.returnConnection(turn.Conn, sound)
	l.recycle(turn)
	l.pinned--
	l.grantPins()
	l.schedule()
}

// freeSlot frees the turn's slot and learns the time of work that ran.
func (l *Scheduler[C]) freeSlot(turn *Permit[C], ran bool) {
	l.running--
	turn.running = false
	now := l.Now()
	if ran {
		l.queue.Finish(now, &turn.ticket, now.Sub(turn.started))
	} else {
		l.queue.Cancel(&turn.ticket)
	}
}

// returnConnection returns a connection to the pool or has it closed.
func (l *Scheduler[C]) returnConnection(conn C, sound bool) {
	l.connectionsInUse--
	if sound {
		l.Pool.Put(conn)
	} else {
		l.Pool.Discard(conn)
	}
}

// refusalCode returns the reason of the refusal that follows from a verdict.
func refusalCode(verdict admit.Verdict) model.Code {
	if verdict == admit.Late {
		return model.CodeDeadline
	}
	return model.CodeOverloaded
}

// Borrow returns an idle connection for a use beside the queue, and false when there is none.
func (l *Scheduler[C]) Borrow() (conn C, found bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if conn, found = l.Pool.Take(); found {
		l.connectionsInUse++
	}
	return conn, found
}

// Return gives a borrowed connection back.
func (l *Scheduler[C]) Return(conn C, sound bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.returnConnection(conn, sound)
	l.schedule()
}
