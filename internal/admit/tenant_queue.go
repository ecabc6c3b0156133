package admit

import (
	"time"

	"redwingspread/internal/model"
)

// tenantQueue is the queue of one tenant within a kind; it serves its sessions in round-robin order.
type tenantQueue[T any] struct {
	id            model.TenantID
	weight        model.Weight
	virtualTime   time.Duration // slot time received so far, divided by the weight
	order         uint64        // rises with each tenant that begins to wait, to decide between equal tenants
	nonEmptySince time.Time     // when the queue last stopped being empty
	waiting       int           // number of waiting tickets outside transactions
	turnIndex     int           // index in the turns of the kind
	idleLink      link[tenantQueue[T]]
	roundRobin    list[sessionQueue[T]] // sessions with waiting work, the next one to serve first
	tickets       list[Ticket[T]]       // all waiting tickets, oldest first
}

// sessionKey identifies a session within a kind; the key of a session may pass to another tenant.
type sessionKey struct {
	tenant  model.TenantID
	session model.SessionID
}

// sessionQueue is the queue of one session within a kind.
type sessionQueue[T any] struct {
	key            sessionKey
	roundRobinLink link[sessionQueue[T]] // position among the sessions of the tenant, or among unused session queues
	tickets        list[Ticket[T]]
}

// takesTurnBefore orders tenants by the service that they have received.
func takesTurnBefore[T any](a, b *tenantQueue[T]) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.order < b.order
}

// hasStandingQueue reports whether the queue has not been empty for longer than the given time.
func (t *tenantQueue[T]) hasStandingQueue(now time.Time, after time.Duration) bool {
	return now.Sub(t.nonEmptySince) > after
}

// next returns the ticket to serve from the next session: the newest while there is a standing queue, else the oldest.
func (t *tenantQueue[T]) next(standing bool) *Ticket[T] {
	s := t.roundRobin.front()
	if standing {
		return s.tickets.back()
	}
	return s.tickets.front()
}

// moveToBack moves the session that is being served to the end of the round-robin order; it is nil for work of a transaction.
func (t *tenantQueue[T]) moveToBack(s *sessionQueue[T]) {
	if s == nil {
		return
	}
	t.roundRobin.remove(&s.roundRobinLink)
	t.roundRobin.pushBack(&s.roundRobinLink)
}

// oldestOutsideTransaction returns the oldest ticket that is not part of a transaction that has begun, or nil.
func (t *tenantQueue[T]) oldestOutsideTransaction() *Ticket[T] {
	for item := t.tickets.first; item != nil; item = item.next {
		if !item.value.Class.InTransaction {
			return item.value
		}
	}
	return nil
}

// charge advances the virtual time by a change of the charged slot time. Debt is limited, as that of a kind is, and a refund does not
// take the tenant behind the others, so that it can't save up service.
func (t *tenantQueue[T]) charge(change time.Duration, kindTime time.Duration) {
	virtual := time.Duration(float64(change) / float64(t.weight))
	if change < 0 {
		t.virtualTime = max(t.virtualTime+virtual, min(t.virtualTime, kindTime))
		return
	}
	limit := kindTime + time.Duration(float64(debtLimit)/float64(t.weight))
	t.virtualTime = min(t.virtualTime+virtual, max(t.virtualTime, limit))
}
