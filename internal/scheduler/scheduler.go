package scheduler

import (
	"context"
	"sync"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
	"redwingspread/internal/pool"
)

// Scheduler runs the work that one host sends to one instance.
//
// A statement takes a slot while it runs; a transaction also keeps its connection through the pauses between its
// statements, and takes a slot again for each without waiting, so that open transactions end soon.
type Scheduler[C any] struct {
	// Pool opens, keeps and closes the connections; its Open and Close are set by the lane's owner.
	Pool *pool.Pool[C]
	// Slots is this host's part of the statements that the instance runs or has waiting at once.
	Slots model.Slots
	// RoundTrip is the time of a round trip to the instance; as many more statements may be on their way as it takes.
	RoundTrip time.Duration
	// Connections is the number of connections that may be open.
	Connections model.Connections
	// MinConnections is the number of connections kept open without work.
	MinConnections model.Connections
	// QueueLimit is the number of statements that may wait.
	QueueLimit int
	// Floors is the guaranteed share of the slots' time of each rank.
	Floors [model.Ranks]model.Percent
	// Policy orders the waiting statements.
	Policy admit.Policy[*Permit[C]]
	// Now reads the clock.
	Now func() time.Time

	mutex              sync.Mutex
	queue              admit.Queue[*Permit[C]]
	pinWaiters         [model.Ranks]admit.FIFO[*Permit[C]] // transactions that wait for a connection to keep
	running            model.Slots
	pinned             model.Connections // connections kept by transactions, those reserved for one included
	connectionsInUse   model.Connections // connections in use
	demandPeak         model.Connections // greatest demand in this span of time
	previousDemandPeak model.Connections // and in the one before
	demandWindowStart  time.Time         // when the span began
	meanLoad           float64           // mean number of connections in use and wanted
	loadUpdated        time.Time         // when the load was last averaged
	started            bool
	stopping           bool
	scarce             bool      // hosts are more than connections
	permits            sync.Pool // permits that have ended
}

// The defaults of a lane.
const (
	defaultSlots       = 2
	defaultConnections = 4
	defaultQueueLimit  = 256
)

// New returns a lane with defaults, whose exported fields are to be set before Run.
func New[C any]() *Scheduler[C] {
	return &Scheduler[C]{
		Pool:           pool.New[C](),
		Slots:          defaultSlots,
		Connections:    defaultConnections,
		MinConnections: 1,
		QueueLimit:     defaultQueueLimit,
		Policy:         admit.NewFairShare[*Permit[C]](),
		Now:            time.Now,
		queue:          admit.Queue[*Permit[C]]{ServiceTimes: admit.NewServiceTimes()},
	}
}

// Run keeps the connections until the context ends, refuses what still waits and reports its own end on done.
func (l *Scheduler[C]) Run(ctx context.Context, done chan<- error) {
	l.mutex.Lock()
	l.applySettings()
	l.updatePoolTarget()
	l.mutex.Unlock()
	ended := make(chan error, 1)
	go l.Pool.Run(ctx, ended)
	err := <-ended
	l.stop()
	done <- err
}

// applySettings hands the exported fields to the queue and the pool, when Run or the first use comes; the caller holds the lock.
func (l *Scheduler[C]) applySettings() {
	if l.started {
		return
	}
	l.started = true
	l.Policy.SetFloors(l.Floors)
	l.queue.Policy = l.Policy
	l.queue.Limit = l.QueueLimit
	l.Pool.Limit = l.Connections
	l.Pool.Ready = l.connectionReady
}

// stop refuses all waiting work and all that comes later.
func (l *Scheduler[C]) stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applySettings()
	l.stopping = true
	l.refuseAll(model.CodeStopping)
}

// SetLimits changes how many statements may run and connections may be open.
//
// Connections are scarce where hosts are more than they: then none is kept without work, so that each host has its turn.
func (l *Scheduler[C]) SetLimits(slots model.Slots, connections model.Connections, scarce bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if slots == l.Slots && connections == l.Connections && scarce == l.scarce {
		return
	}
	l.applySettings()
	l.Slots, l.Connections, l.scarce = slots, connections, scarce
	l.Pool.SetLimit(connections)
	l.grantPins()
	l.schedule()
}

// ExpectedLatency returns the time after which a statement of the kind that comes now is expected to be answered.
func (l *Scheduler[C]) ExpectedLatency(now time.Time, kind model.KindID) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applySettings()
	answer := l.queue.ServiceTimes.Expected(now, kind)
	limit := l.inFlightLimit()
	ahead := l.queue.Len() + int(max(l.running-limit+1, 0))
	if ahead == 0 {
		return answer
	}
	return answer + time.Duration(ahead)*l.queue.ServiceTimes.Mean(now)/time.Duration(max(limit, 1))
}

// connectionReady starts waiting work when a connection has become idle.
func (l *Scheduler[C]) connectionReady() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.schedule()
}

// schedule starts waiting work while there is a free slot and a connection, and asks for connections that are missing.
func (l *Scheduler[C]) schedule() {
	limit := l.inFlightLimit()
	for l.running < limit && l.queue.Len() > 0 {
		conn, found := l.Pool.Take()
		if !found {
			break
		}
		ticket, verdict := l.queue.Next(l.Now(), admit.EligibleAny)
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
		l.running++
		l.connectionsInUse++
		turn.decision <- nil
	}
	l.updatePoolTarget()
}

// inFlightLimit returns the number of statements that may be on their way: the part of the slots, and what a far instance would
// miss during a round trip.
func (l *Scheduler[C]) inFlightLimit() model.Slots {
	mean := l.queue.ServiceTimes.Mean(l.Now()) - l.RoundTrip
	return l.Slots + model.Slots(l.RoundTrip/max(mean, minServiceTime))*l.Slots/statementsPerSlot
}

// minServiceTime bounds the statements on their way to a far instance whose service time is not known.
const minServiceTime = 5 * time.Millisecond

// statementsPerSlot is how many statements the part of a slot stands for: one that runs and one that waits.
const statementsPerSlot = 2

// updatePoolTarget tells the pool how many connections should be open: those in use, those that work waits for, and the warm ones.
func (l *Scheduler[C]) updatePoolTarget() {
	l.Pool.SetTarget(max(l.minConnections(), l.peakDemand()))
}

// refuse ends a ticket's wait with a refusal.
func (l *Scheduler[C]) refuse(ticket *admit.Ticket[*Permit[C]], code model.Code) {
	ticket.Value.decision <- l.refusal(code)
}

// refusal returns a refusal that tells when to come back.
func (l *Scheduler[C]) refusal(code model.Code) *model.Refusal {
	refusal := model.Refuse(code, "%d waiting, %d of %d running, %d of %d connections kept", l.queue.Len(), l.running, l.Slots, l.pinned, l.Connections)
	refusal.RetryAfter = l.queue.RetryAfter(l.Now(), l.Slots)
	return refusal
}

// refuseAll refuses all waiting work with the code.
func (l *Scheduler[C]) refuseAll(code model.Code) {
	for i := range l.pinWaiters {
		for ticket := l.pinWaiters[i].Pop(l.Now(), admit.EligibleAny); ticket != nil; ticket = l.pinWaiters[i].Pop(l.Now(), admit.EligibleAny) {
			ticket.Value.waitingForPin = false
			l.refuse(ticket, code)
		}
	}
	for l.queue.Len() > 0 {
		ticket, verdict := l.queue.Next(l.Now(), admit.EligibleAny)
		if verdict == admit.Run {
			l.queue.Cancel(ticket)
		}
		l.refuse(ticket, code)
	}
}

// pinsWaiting returns the number of transactions that wait for a connection to keep.
func (l *Scheduler[C]) pinsWaiting() (waiting int) {
	for rank := model.RankOne; rank <= model.RankThree; rank++ {
		waiting += l.pinWaiters[rank.Index()].Waiting(rank)
	}
	return waiting
}
