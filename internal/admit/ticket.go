package admit

import (
	"time"

	"redwingspread/internal/model"
)

// Class holds the properties of a piece of work that decide its admission.
type Class struct {
	Rank          model.Rank
	Kind          model.KindID
	Session       model.SessionID
	Tenant        model.TenantID // empty for none
	Floor         model.Percent  // guaranteed share of the kind within its rank
	QueueLimit    int            // queue length from which this work displaces waiting work or is refused; zero for the limit of the queue
	InTransaction bool           // whether the work belongs to a transaction that has begun
}

// Ticket is the queue entry of one piece of work; a policy links it into its lists without allocating.
type Ticket[T any] struct {
	Class    Class
	Arrived  time.Time
	Deadline time.Time // zero for none
	Value    T

	charged   time.Duration   // slot time charged so far
	waiting   bool            // whether the ticket is in the queue
	queueLink link[Ticket[T]] // position in the queue that the policy serves from
	ageLink   link[Ticket[T]] // position among all tickets of its kind, oldest first
	session   *sessionQueue[T]
	tenant    *tenantQueue[T]
	kind      *kindQueue[T]
}

// Reset prepares the ticket for another wait; Queue.Offer calls it itself.
func (t *Ticket[T]) Reset() {
	t.queueLink = link[Ticket[T]]{value: t}
	t.ageLink = link[Ticket[T]]{value: t}
	t.session, t.tenant, t.kind = nil, nil, nil
}

// Late reports whether work that starts now and takes the given time would miss the ticket's deadline.
func (t *Ticket[T]) Late(now time.Time, duration time.Duration) bool {
	return !t.Deadline.IsZero() && now.Add(duration).After(t.Deadline)
}
