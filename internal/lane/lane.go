package lane

import (
	"context"
	"sync"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
	"redwingspread/internal/pool"
)

// Lane runs the work that one host sends to one instance.
//
// A statement takes a slot while it runs; a transaction also keeps its connection through the pauses between its
// statements, and takes a slot again for each without waiting, so that open transactions end soon.
type Lane[C any] struct {
	// Pool opens, keeps and closes the connections; its Open and Close are set by the lane's owner.
	Pool *pool.Pool[C]
	// Slots is this host's part of the statements that the instance runs or has waiting at once.
	Slots model.Slots
	// Trip is the time of a round trip to the instance; as many more statements may be on their way as it takes.
	Trip time.Duration
	// Connections is the number of connections that may be open.
	Connections model.Connections
	// Warm is the number of connections kept open without work.
	Warm model.Connections
	// QueueLimit is the number of statements that may wait.
	QueueLimit int
	// Floors is the guaranteed share of the slots' time of each rank.
	Floors [model.Ranks]model.Percent
	// Policy orders the waiting statements.
	Policy admit.Policy[*Turn[C]]
	// Now reads the clock.
	Now func() time.Time

	mutex    sync.Mutex
	queue    admit.Queue[*Turn[C]]
	pins     [model.Ranks]admit.Arrival[*Turn[C]] // transactions that wait for a connection to keep
	used     model.Slots
	held     model.Connections // connections kept by transactions, those reserved for one included
	taken    model.Connections // connections in use
	peak     model.Connections // greatest demand in this span of time
	former   model.Connections // and in the one before
	spanned  time.Time         // when the span began
	load     float64           // mean number of connections in use and wanted
	loaded   time.Time         // when the load was last averaged
	started  bool
	stopping bool
	scarce   bool      // hosts are more than connections
	turns    sync.Pool // turns that have ended
}

// The defaults of a lane.
const (
	defaultSlots       = 2
	defaultConnections = 4
	defaultQueueLimit  = 256
)

// New returns a lane with defaults, whose exported fields are to be set before Run.
func New[C any]() *Lane[C] {
	return &Lane[C]{
		Pool:        pool.New[C](),
		Slots:       defaultSlots,
		Connections: defaultConnections,
		Warm:        1,
		QueueLimit:  defaultQueueLimit,
		Policy:      admit.NewFloors[*Turn[C]](),
		Now:         time.Now,
		queue:       admit.Queue[*Turn[C]]{Service: admit.NewService()},
	}
}

// Run keeps the connections until the context ends, refuses what still waits and reports its own end on done.
func (l *Lane[C]) Run(ctx context.Context, done chan<- error) {
	l.mutex.Lock()
	l.begin()
	l.want()
	l.mutex.Unlock()
	ended := make(chan error, 1)
	go l.Pool.Run(ctx, ended)
	err := <-ended
	l.stop()
	done <- err
}

// begin hands the exported fields to the queue and the pool, when Run or the first use comes; the caller holds the lock.
func (l *Lane[C]) begin() {
	if l.started {
		return
	}
	l.started = true
	l.Policy.SetFloors(l.Floors)
	l.queue.Policy = l.Policy
	l.queue.Limit = l.QueueLimit
	l.Pool.Limit = l.Connections
	l.Pool.OnIdle = l.ready
}

// stop refuses all waiting work and all that comes later.
func (l *Lane[C]) stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.begin()
	l.stopping = true
	l.refuseAll(model.CodeStopping)
}

// SetLimits changes how many statements may run and connections may be open.
//
// Connections are scarce where hosts are more than they: then none is kept without work, so that each host has its turn.
func (l *Lane[C]) SetLimits(slots model.Slots, connections model.Connections, scarce bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if slots == l.Slots && connections == l.Connections && scarce == l.scarce {
		return
	}
	l.begin()
	l.Slots, l.Connections, l.scarce = slots, connections, scarce
	l.Pool.SetLimit(connections)
	l.grantPins()
	l.schedule()
}

// Expect returns the time after which a statement of the kind that comes now is expected to be answered.
func (l *Lane[C]) Expect(now time.Time, kind model.KindID) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.begin()
	answer := l.queue.Service.Expect(now, kind)
	limit := l.limit()
	ahead := l.queue.Len() + int(max(l.used-limit+1, 0))
	if ahead == 0 {
		return answer
	}
	return answer + time.Duration(ahead)*l.queue.Service.Mean(now)/time.Duration(max(limit, 1))
}

// ready starts waiting work when a connection has become idle.
func (l *Lane[C]) ready() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.schedule()
}

// schedule starts waiting work while there is a free slot and a connection, and asks for connections that are missing.
func (l *Lane[C]) schedule() {
	limit := l.limit()
	for l.used < limit && l.queue.Len() > 0 {
		conn, found := l.Pool.Take()
		if !found {
			break
		}
		ticket, verdict := l.queue.Next(l.Now(), admit.RoomAny)
		if ticket == nil {
			l.Pool.Put(conn)
			break
		}
		if verdict == admit.Late {
			l.Pool.Put(conn)
			l.refuse(ticket, model.CodeDeadline)
			continue
		}
		turn := ticket.Value
		turn.Conn = conn
		turn.started = l.Now()
		l.used++
		l.taken++
		turn.ready <- nil
	}
	l.want()
}

// limit returns the number of statements that may be on their way: the part of the slots, and what a far instance would
// miss during a round trip.
func (l *Lane[C]) limit() model.Slots {
	mean := l.queue.Service.Mean(l.Now()) - l.Trip
	return l.Slots + model.Slots(l.Trip/max(mean, leastService))*l.Slots/slotDepth
}

// leastService bounds the statements on their way to a far instance whose service time is not known.
const leastService = 5 * time.Millisecond

// slotDepth is how many statements the part of a slot stands for: one that runs and one that waits.
const slotDepth = 2

// want tells the pool how many connections should be open: those in use, those that work waits for, and the warm ones.
func (l *Lane[C]) want() {
	l.Pool.SetTarget(max(l.warm(), l.demand()))
}

// refuse ends a ticket's wait with a refusal.
func (l *Lane[C]) refuse(ticket *admit.Ticket[*Turn[C]], code model.Code) {
	ticket.Value.ready <- l.refusal(code)
}

// refusal returns a refusal that tells when to come back.
func (l *Lane[C]) refusal(code model.Code) *model.Refusal {
	refusal := model.Refuse(code, "%d waiting, %d of %d running, %d of %d connections kept", l.queue.Len(), l.used, l.Slots, l.held, l.Connections)
	refusal.RetryAfter = l.queue.RetryAfter(l.Now(), l.Slots)
	return refusal
}

// refuseAll refuses all waiting work with the code.
func (l *Lane[C]) refuseAll(code model.Code) {
	for i := range l.pins {
		for ticket := l.pins[i].Pop(l.Now(), admit.RoomAny); ticket != nil; ticket = l.pins[i].Pop(l.Now(), admit.RoomAny) {
			ticket.Value.pinning = false
			l.refuse(ticket, code)
		}
	}
	for l.queue.Len() > 0 {
		ticket, verdict := l.queue.Next(l.Now(), admit.RoomAny)
		if verdict == admit.Run {
			l.queue.Cancel(ticket)
		}
		l.refuse(ticket, code)
	}
}

// pinsWaiting returns the number of transactions that wait for a connection to keep.
func (l *Lane[C]) pinsWaiting() (waiting int) {
	for rank := model.RankOne; rank <= model.RankThree; rank++ {
		waiting += l.pins[rank.Index()].Waiting(rank)
	}
	return waiting
}
