package scheduler

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/clock"
	"redwingspread/internal/model"
	"redwingspread/internal/pool"
	"redwingspread/internal/retry"
)

// Request describes one piece of work that asks for a permit.
type Request struct {
	Class          admit.Class
	Deadline       time.Time      // time by which the work must be answered; must be set
	KeepConnection bool           // whether to pin the connection for a transaction
	Tenant         model.TenantID // by whose weight the work takes turns, and that the connection has to belong to, where connections belong to tenants
	OnlyHere       bool           // no other instance would do, so that the work waits while this one can't be reached
}

// Permit is the right of a piece of work to use a connection and a slot.
type Permit[C any] struct {
	// Conn is the connection; like the permit itself, it is valid until FinishStatement or FinishTransaction.
	Conn C

	ticket        admit.Ticket[*Permit[C]]
	decision      chan *model.Refusal // receives nil when the wait succeeds, else a refusal
	started       time.Time           // start of the current statement
	tenant        model.TenantID
	reservation   pool.Reservation[C] // of the connection to open
	opens         bool                // the connection has to be opened
	waitingForPin bool
	pinned        bool
	running       bool
}

// Acquire waits for a permit; the error is a *model.Refusal of work that has not run.
func (s *Scheduler[C]) Acquire(ctx context.Context, request Request) (permit *Permit[C], err error) {
	permit = s.newPermit(request)
	if refusal := s.waitForPermit(ctx, permit, request); refusal != nil {
		s.recycle(permit)
		return nil, refusal
	}
	permit.pinned = request.KeepConnection
	permit.running = true
	return permit, nil
}

// waitForPermit waits for a connection to pin, if requested, and then for a slot.
//
// Work that can't get a connection by its deadline is refused at once.
func (s *Scheduler[C]) waitForPermit(ctx context.Context, permit *Permit[C], request Request) *model.Refusal {
	if s.blockedPast(request.Deadline) {
		return s.refuseBlocked()
	}
	if request.KeepConnection {
		if refusal := s.pin(ctx, permit); refusal != nil {
			return refusal
		}
	}
	if refusal := s.waitForConnection(ctx, permit, request.OnlyHere); refusal != nil {
		s.unpin(request.KeepConnection)
		return refusal
	}
	return nil
}

// waitForConnection waits for a slot and a connection. Where the instance takes no more connections, it waits again, as it does after
// a pause where the instance can't be reached and no other would do.
func (s *Scheduler[C]) waitForConnection(ctx context.Context, permit *Permit[C], onlyHere bool) *model.Refusal {
	var backoff *retry.Backoff
	for {
		if refusal := s.enqueue(permit); refusal != nil {
			return refusal
		}
		if refusal := s.waitForSlot(ctx, permit); refusal != nil {
			return refusal
		}
		if !permit.opens {
			return nil
		}
		err := s.open(ctx, permit)
		if err == nil {
			return nil
		}
		s.cancelOpening(permit)
		if model.CodeOf(err) == model.CodeConnectionsFull && s.Now().Before(permit.ticket.Deadline) {
			continue
		}
		refusal := s.refuseOpening(permit, err)
		if !onlyHere || refusal.Code != model.CodeUnavailable {
			return refusal
		}
		if backoff == nil {
			backoff = retry.NewBackoff()
		}
		if clock.Pause(ctx, min(backoff.Next(0), permit.ticket.Deadline.Sub(s.Now()))) != nil {
			return refusal
		}
	}
}

// refuseOpening returns the refusal of work whose connection could not be opened.
func (s *Scheduler[C]) refuseOpening(permit *Permit[C], err error) *model.Refusal {
	if errors.Is(err, pool.ErrStopped) {
		return model.Refuse(model.CodeStopping, "the connection was opened too late")
	}
	if !s.Now().Before(permit.ticket.Deadline) {
		return s.refuseBlocked()
	}
	return model.Refuse(model.CodeUnavailable, "no connection could be opened: %v", err)
}

// open opens the connection of a permit that has its slot.
func (s *Scheduler[C]) open(ctx context.Context, permit *Permit[C]) error {
	openCtx, cancel := context.WithTimeout(ctx, permit.ticket.Deadline.Sub(s.Now()))
	defer cancel()
	conn, err := s.Pool.OpenReserved(openCtx, permit.tenant, permit.reservation)
	if err != nil {
		return err
	}
	permit.Conn, permit.opens = conn, false
	permit.started = s.Now() // the service time doesn't include the opening
	return nil
}

// cancelOpening returns the slot of a permit whose connection could not be opened.
func (s *Scheduler[C]) cancelOpening(permit *Permit[C]) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	permit.opens = false
	s.queue.Cancel(&permit.ticket)
	s.running--
	s.connectionsInUse--
	s.schedule()
}

// blockedPast reports whether no connection can be opened before the deadline.
func (s *Scheduler[C]) blockedPast(deadline time.Time) bool {
	blocked := s.BlockedFor()
	return blocked > 0 && !s.Now().Add(blocked).Before(deadline)
}

// refuseBlocked returns the refusal of work that can't get a connection before its deadline.
func (s *Scheduler[C]) refuseBlocked() *model.Refusal {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applySettings()
	return s.refusal(model.CodeDeadline)
}

// newPermit returns a permit, reusing an ended one to avoid an allocation.
func (s *Scheduler[C]) newPermit(request Request) *Permit[C] {
	permit, found := s.permits.Get().(*Permit[C])
	if !found {
		permit = &Permit[C]{decision: make(chan *model.Refusal, 1)}
		permit.ticket.Value = permit
	}
	permit.ticket.Class = request.Class
	permit.ticket.Class.Tenant = request.Tenant
	permit.ticket.Deadline = request.Deadline
	permit.tenant = request.Tenant
	return permit
}

// recycle resets an ended permit for reuse; the caller must not use it afterwards.
func (s *Scheduler[C]) recycle(permit *Permit[C]) {
	var zero C
	permit.Conn, permit.started = zero, time.Time{}
	permit.waitingForPin, permit.pinned, permit.running, permit.opens = false, false, false, false
	permit.reservation = pool.Reservation[C]{}
	s.permits.Put(permit)
}

// enqueue queues the permit for a slot and starts the work that can start.
func (s *Scheduler[C]) enqueue(permit *Permit[C]) *model.Refusal {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applySettings()
	if s.stopping {
		return s.refusal(model.CodeStopping)
	}
	verdict, evicted, evictedVerdict := s.queue.Offer(s.Now(), &permit.ticket)
	if evicted != nil {
		s.refuse(evicted, refusalCode(evictedVerdict))
	}
	if verdict != admit.Wait {
		return s.refusal(refusalCode(verdict))
	}
	s.schedule()
	return nil
}

// waitForSlot returns nil once the work may run, or a refusal.
func (s *Scheduler[C]) waitForSlot(ctx context.Context, permit *Permit[C]) *model.Refusal {
	if refusal, decided := s.awaitDecision(ctx, permit); decided {
		return refusal
	}
	return s.cancelWait(permit)
}

// awaitDecision returns the decision on the permit, or false if the deadline or the end of the context comes first, or once the
// deadline can't be met since no connection can be opened.
func (s *Scheduler[C]) awaitDecision(ctx context.Context, permit *Permit[C]) (refusal *model.Refusal, decided bool) {
	select {
	case refusal = <-permit.decision:
		return refusal, true
	default:
	}
	timer := time.NewTimer(permit.ticket.Deadline.Sub(s.Now()))
	defer timer.Stop()
	for {
		blocked := s.blockedSignal()
		if s.blockedPast(permit.ticket.Deadline) {
			return nil, false
		}
		select {
		case refusal = <-permit.decision:
			return refusal, true
		case <-blocked:
		case <-ctx.Done():
			return nil, false
		case <-timer.C:
			return nil, false
		}
	}
}

// blockedSignal returns a channel that is closed when the instance takes no further connection.
func (s *Scheduler[C]) blockedSignal() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.blocked
}

// connectionBlocked wakes waiting work that may no longer get a connection in time.
func (s *Scheduler[C]) connectionBlocked() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.blocked)
	s.blocked = make(chan struct{})
}

// cancelWait ends the wait for a slot after a timeout or cancellation; a slot granted meanwhile is returned unused.
func (s *Scheduler[C]) cancelWait(permit *Permit[C]) *model.Refusal {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.queue.Withdraw(s.Now(), &permit.ticket) {
		return s.refusal(model.CodeDeadline)
	}
	if refusal := <-permit.decision; refusal != nil {
		return refusal
	}
	s.queue.Cancel(&permit.ticket)
	s.returnUnused(permit)
	s.running--
	s.schedule()
	return s.refusal(model.CodeDeadline)
}

// FinishStatement releases a permit whose connection is not pinned, and closes a connection that is not reusable.
//
// ran says whether the statement ran, so that its service time counts.
func (s *Scheduler[C]) FinishStatement(permit *Permit[C], reusable, ran bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.freeSlot(permit, ran)
	s.returnConnection(permit.Conn, reusable)
	s.recycle(permit)
	s.schedule()
}

// Suspend frees the slot between two statements of a transaction, which keeps its connection.
func (s *Scheduler[C]) Suspend(permit *Permit[C], ran bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.freeSlot(permit, ran)
	s.schedule()
}

// Resume takes a slot for the next statement of a transaction, exceeding the limit if necessary.
func (s *Scheduler[C]) Resume(permit *Permit[C]) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running++
	permit.started = s.Now()
	permit.running = true
}

// FinishTransaction releases the permit of a transaction; a connection that is not reusable is closed, which rolls back.
func (s *Scheduler[C]) FinishTransaction(permit *Permit[C], reusable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if permit.running {
		s.freeSlot(permit, false)
	}
	s.returnConnection(permit.Conn, reusable)
	s.recycle(permit)
	s.pinned--
	s.grantPins()
	s.schedule()
}

// freeSlot frees the slot and records the service time of work that ran.
func (s *Scheduler[C]) freeSlot(permit *Permit[C], ran bool) {
	s.running--
	permit.running = false
	now := s.Now()
	if ran {
		s.queue.Finish(now, &permit.ticket, now.Sub(permit.started))
	} else {
		s.queue.Cancel(&permit.ticket)
	}
}

// returnConnection returns a reusable connection to the pool and discards any other.
func (s *Scheduler[C]) returnConnection(conn C, reusable bool) {
	s.connectionsInUse--
	if reusable {
		s.Pool.Put(conn)
	} else {
		s.Pool.Discard(conn)
	}
}

// returnUnused returns the connection of a permit that was not used, or the right to open one.
func (s *Scheduler[C]) returnUnused(permit *Permit[C]) {
	if !permit.opens {
		s.returnConnection(permit.Conn, true)
		return
	}
	s.connectionsInUse--
	s.Pool.CancelReservation(permit.reservation)
	permit.opens = false
}

// refusalCode returns the code of the refusal for a verdict.
func refusalCode(verdict admit.Verdict) model.Code {
	if verdict == admit.Late {
		return model.CodeDeadline
	}
	return model.CodeOverloaded
}

// Borrow takes an idle connection without queueing or a slot; it returns false if there is none.
func (s *Scheduler[C]) Borrow() (conn C, found bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if conn, found = s.Pool.Take(); found {
		s.connectionsInUse++
	}
	return conn, found
}

// Return returns a borrowed connection, and closes one that is not reusable.
func (s *Scheduler[C]) Return(conn C, reusable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.returnConnection(conn, reusable)
	s.schedule()
}
