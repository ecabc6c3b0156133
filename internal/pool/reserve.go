package pool

import (
	"context"
	"errors"
	"slices"
	"time"

	"redwingspread/internal/model"
)

// Reservation is the right to open one connection, in place of an idle one where the limit is reached.
type Reservation[C any] struct {
	evicted idleConn[C]
	evicts  bool
}

// CanServe reports whether work of any tenant can have a connection now: an idle one, a new one, or a new one in place of an idle one.
func (p *Pool[C]) CanServe() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.stopped && (len(p.idle) > 0 || p.hasRoom())
}

// hasRoom reports whether one more connection may be opened now.
func (p *Pool[C]) hasRoom() bool { return !p.backingOff && p.open+p.opening < p.Limit }

// HasIdle reports whether an idle connection belongs to the tenant.
func (p *Pool[C]) HasIdle(tenant model.TenantID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.idleOf(tenant) >= 0
}

// idleOf returns the index of the most recently used idle connection of the tenant, or -1.
func (p *Pool[C]) idleOf(tenant model.TenantID) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.Tenant(p.idle[i].conn) == tenant {
			return i
		}
	}
	return -1
}

// TakeFor returns the most recently used idle connection of the tenant. Without one it reserves a connection, for which the caller
// has to call OpenReserved. It must be called only while CanServe reports true, under a lock that keeps it so.
func (p *Pool[C]) TakeFor(tenant model.TenantID) (conn C, found bool, reservation Reservation[C]) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if i := p.idleOf(tenant); i >= 0 {
		conn = p.idle[i].conn
		p.removeIdle(i)
		return conn, true, reservation
	}
	if !p.hasRoom() && len(p.idle) > 0 {
		reservation = Reservation[C]{evicted: p.idle[0], evicts: true}
		p.removeIdle(0) // the least recently used one
		p.open--
	}
	p.opening++
	return conn, false, reservation
}

// removeIdle removes an idle connection.
func (p *Pool[C]) removeIdle(i int) {
	p.idle = slices.Delete(p.idle, i, i+1)
}

// OpenReserved opens a reserved connection of the tenant and returns it as taken. The connection that it replaces is closed first,
// so that the instance doesn't count both. After the end of Run it fails.
//
// After a failure for which MinBackoff asks for a backoff, CanServe grants new connections only in place of idle ones until the backoff
// has ended; OnIdle is called then.
func (p *Pool[C]) OpenReserved(ctx context.Context, tenant model.TenantID, reservation Reservation[C]) (conn C, err error) {
	if reservation.evicts {
		_ = p.Close(ctx, reservation.evicted.conn) // the instance drops connections that it doesn't hear from
	}
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err = p.Open(openCtx, tenant)
	if err == nil && p.addTaken() {
		return conn, nil
	}
	if err == nil {
		var none C
		p.closeLate(conn)
		return none, ErrStopped
	}
	if least := p.MinBackoff(err); least > 0 {
		p.backOff(least)
		p.OnBlocked()
		return conn, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.opening--
	p.failures++
	return conn, err
}

// ErrStopped is the error of a connection that was opened during the end of Run.
var ErrStopped = errors.New("pool: no more connections are opened")

// CancelReservation gives up a reservation; the connection that it would have replaced is idle again, as the least recently used one.
func (p *Pool[C]) CancelReservation(reservation Reservation[C]) {
	if !p.unreserve(reservation) {
		p.closeLate(reservation.evicted.conn)
	}
}

// unreserve is CancelReservation; it returns false if the connection has to be closed, after the end of Run.
func (p *Pool[C]) unreserve(reservation Reservation[C]) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.opening--
	if !reservation.evicts {
		return true
	}
	p.open++
	if p.stopped {
		return false
	}
	p.idle = slices.Insert(p.idle, 0, reservation.evicted)
	p.trimToLimit()
	return true
}

// addTaken counts a newly opened connection as in use and ends the backoff; it returns false after the end of Run.
func (p *Pool[C]) addTaken() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.opening--
	p.open++
	p.backoff = 0
	return !p.stopped
}

// backOff makes Run wait for the backoff after a failure. It doesn't grow, since work with a deadline waits for it.
func (p *Pool[C]) backOff(least time.Duration) {
	wait := p.recordFailure(least, least)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if wait > 0 {
		p.backoffDue = wait
		p.wakeRun()
	}
}
