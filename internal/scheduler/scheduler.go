package scheduler

import (
	"context"
	"sync"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
	"redwingspread/internal/pool"
)

// Scheduler limits and orders the work that one host sends to one instance.
//
// A statement occupies a slot and a connection while it runs. A transaction pins its connection, also between its
// statements, and takes a slot for each further statement without queueing, so that open transactions end soon.
type Scheduler[C any] struct {
	// Pool holds the connections; the owner of the scheduler sets its Open and Close functions.
	Pool *pool.Pool[C]
	// Slots is this host's share of the statements that the instance may run or have waiting at once.
	Slots model.Slots
	// RoundTrip is the network round-trip time to the instance; the longer it is, the more statements may be in flight.
	RoundTrip time.Duration
	// Connections is the maximum number of open connections.
	Connections model.Connections
	// MinConnections is the number of connections kept open without work, unless connections are scarce.
	MinConnections model.Connections
	// QueueLimit is the maximum number of waiting statements, and of waiting transactions of each rank.
	QueueLimit int
	// Floors is the guaranteed share of slot time of each rank.
	Floors [model.RankCount]model.Percent
	// Policy orders the waiting statements.
	Policy admit.Policy[*Permit[C]]
	// Now returns the current time.
	Now func() time.Time

	mutex              sync.Mutex
	queue              admit.Queue[*Permit[C]]
	pinWaiters         [model.RankCount]admit.FIFO[*Permit[C]] // transactions that wait to pin a connection, by rank
	running            model.Slots                             // statements that run
	pinned             model.Connections                       // connections that are pinned by a transaction or reserved for one
	connectionsInUse   model.Connections                       // connections taken from the pool
	demandPeak         model.Connections                       // peak demand in the current demand window
	previousDemandPeak model.Connections                       // peak demand in the previous demand window
	demandWindowStart  time.Time
	meanLoad           float64   // moving average of the connections in use and waited for
	loadUpdated        time.Time // when meanLoad was last updated
	started            bool
	stopping           bool
	scarce             bool          // whether the instance has fewer connections than there are hosts
	perTenant          bool          // whether connections belong to tenants
	probing            bool          // whether a connection is kept open for probes, also where they are scarce
	blocked            chan struct{} // closed, and replaced, when the instance takes no further connection
	permits            sync.Pool     // unused permits
}

// The defaults of a scheduler.
const (
	defaultSlots       = 2
	defaultConnections = 4
	defaultQueueLimit  = 256
)

// New returns a scheduler with defaults; its exported fields must be set before Run.
func New[C any]() *Scheduler[C] {
	return &Scheduler[C]{
		Pool:           pool.New[C](),
		Slots:          defaultSlots,
		Connections:    defaultConnections,
		MinConnections: 1,
		QueueLimit:     defaultQueueLimit,
		Policy:         admit.NewFairShare[*Permit[C]](),
		Now:            time.Now,
		blocked:        make(chan struct{}),
		queue:          admit.Queue[*Permit[C]]{ServiceTimes: admit.NewServiceTimes()},
	}
}

// Run maintains the connections until the context ends, then refuses all waiting work and sends its error to done.
func (s *Scheduler[C]) Run(ctx context.Context, done chan<- error) {
	s.mutex.Lock()
	s.applySettings()
	s.updatePoolTarget()
	s.mutex.Unlock()
	poolDone := make(chan error, 1)
	go s.Pool.Run(ctx, poolDone)
	err := <-poolDone
	s.stop()
	done <- err
}

// applySettings passes the exported fields on to the queue and the pool, once; the caller holds the lock.
func (s *Scheduler[C]) applySettings() {
	if s.started {
		return
	}
	s.started = true
	s.Policy.SetFloors(s.Floors)
	s.queue.Policy = s.Policy
	s.queue.Limit = s.QueueLimit
	s.Pool.Limit = s.Connections
	s.Pool.OnIdle = s.connectionReady
	s.Pool.OnBlocked = s.connectionBlocked
}

// stop refuses all waiting and later work.
func (s *Scheduler[C]) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applySettings()
	s.stopping = true
	s.refuseAll(model.CodeStopping)
}

// SetLimits changes the slots and the maximum number of open connections.
//
// Connections are scarce if the instance has fewer of them than there are hosts. Then none is kept open without work, so
// that every host gets one at times.
func (s *Scheduler[C]) SetLimits(slots model.Slots, connections model.Connections, scarce bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slots == s.Slots && connections == s.Connections && scarce == s.scarce {
		return
	}
	s.applySettings()
	s.Slots, s.Connections, s.scarce = slots, connections, scarce
	s.Pool.SetLimit(connections)
	s.grantPins()
	s.schedule()
}

// ExpectedLatency returns the expected time until a statement of the kind is answered, if it arrives now.
func (s *Scheduler[C]) ExpectedLatency(now time.Time, kind model.KindID) time.Duration {
	wait, service := s.Expected(now, kind)
	return wait + service
}

// Expected returns the expected wait and service time of a statement of the kind, if it arrives now.
func (s *Scheduler[C]) Expected(now time.Time, kind model.KindID) (wait, service time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applySettings()
	service = s.queue.ServiceTimes.Expected(now, kind)
	limit := s.inFlightLimit()
	ahead := s.queue.Len() + int(max(s.running-limit+1, 0))
	if ahead == 0 {
		return 0, service
	}
	return time.Duration(ahead) * s.queue.ServiceTimes.Mean(now) / time.Duration(max(limit, 1)), service
}

// Room is how much of an instance the host uses and may use.
type Room struct {
	Waiting int
	Running model.Slots
	Limit   model.Slots // statements that may be in flight
}

// Room returns the queue and the statements in flight.
func (s *Scheduler[C]) Room() Room {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applySettings()
	return Room{Waiting: s.queue.Len(), Running: s.running, Limit: s.inFlightLimit()}
}

// OpensConnection reports whether work of the tenant that arrives now has to wait for a connection to be opened, since none is kept.
func (s *Scheduler[C]) OpensConnection(tenant model.TenantID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.perTenant {
		return !s.Pool.HasIdle(tenant)
	}
	return s.scarce && s.Pool.Counts().Idle == 0
}

// BlockedFor returns how long work that arrives now waits at least until a connection can be opened, since none is open and the
// instance takes no more.
func (s *Scheduler[C]) BlockedFor() time.Duration { return s.Pool.BlockedFor() }

// SetPerTenant sets whether connections belong to tenants; work then opens the connections that it needs, under its slot.
func (s *Scheduler[C]) SetPerTenant(perTenant bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if perTenant == s.perTenant {
		return
	}
	s.applySettings()
	s.perTenant = perTenant
	s.schedule()
}

// SetProbing sets whether one connection is kept open without work, also where connections are scarce or belong to tenants, since the
// host probes the instance all the time.
func (s *Scheduler[C]) SetProbing(probing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if probing == s.probing {
		return
	}
	s.applySettings()
	s.probing = probing
	s.updatePoolTarget()
}

// connectionReady starts waiting work; the pool calls it when a connection has become idle.
func (s *Scheduler[C]) connectionReady() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.schedule()
}

// schedule starts waiting work while there are a free slot and an idle connection, and updates the target of the pool.
func (s *Scheduler[C]) schedule() {
	limit := s.inFlightLimit()
	start := s.startNext
	if s.perTenant {
		start = s.startNextOfTenant
	}
	for s.running < limit && s.queue.Len() > 0 && start() {
	}
	s.updatePoolTarget()
}

// startNext starts or refuses the next waiting work; it returns false if there is no idle connection.
func (s *Scheduler[C]) startNext() bool {
	conn, found := s.Pool.Take()
	if !found {
		return false
	}
	ticket, verdict := s.queue.Next(s.Now(), admit.EligibleAny)
	if ticket == nil {
		s.Pool.Put(conn)
		return false
	}
	if verdict == admit.Late {
		s.Pool.Put(conn)
		s.refuse(ticket, model.CodeDeadline)
		return true
	}
	if ticket.Value.tenant != s.Pool.Tenant(conn) { // around a change of the configuration
		s.Pool.Put(conn)
		s.startOnOwn(ticket.Value)
		return true
	}
	ticket.Value.Conn = conn
	s.start(ticket.Value)
	return true
}

// startNextOfTenant starts or refuses the next waiting work where connections belong to tenants; it returns false if no work could
// have a connection. Work without an idle connection of its tenant opens one.
func (s *Scheduler[C]) startNextOfTenant() bool {
	if !s.Pool.CanServe() {
		return false
	}
	ticket, verdict := s.queue.Next(s.Now(), admit.EligibleAny)
	if ticket == nil {
		return false
	}
	if verdict == admit.Late {
		s.refuse(ticket, model.CodeDeadline)
		return true
	}
	s.startOnOwn(ticket.Value)
	return true
}

// startOnOwn gives a permit its slot, with an idle connection of its tenant or the right to open one.
func (s *Scheduler[C]) startOnOwn(permit *Permit[C]) {
	found := false
	permit.Conn, found, permit.reservation = s.Pool.TakeFor(permit.tenant)
	permit.opens = !found
	s.start(permit)
}

// start gives a permit its slot.
func (s *Scheduler[C]) start(permit *Permit[C]) {
	permit.started = s.Now()
	s.running++
	s.connectionsInUse++
	permit.decision <- nil
}

// inFlightLimit returns the number of statements that may be in flight: the slots, and as many more as a distant instance
// could run during a round trip.
func (s *Scheduler[C]) inFlightLimit() model.Slots {
	mean := s.queue.ServiceTimes.Mean(s.Now()) - s.RoundTrip
	return s.Slots + model.Slots(s.RoundTrip/max(mean, minServiceTime))*s.Slots/statementsPerSlot
}

// minServiceTime is the least service time assumed for the in-flight limit, since the service time of a distant instance
// may not be known yet.
const minServiceTime = 5 * time.Millisecond

// statementsPerSlot is how many statements Scheduler.Slots counts for each one that runs: that one, and one that waits at
// the instance.
const statementsPerSlot = 2

// updatePoolTarget sets the number of connections that the pool should have open: the recent peak of demand, at least the
// minimum.
func (s *Scheduler[C]) updatePoolTarget() {
	if s.perTenant {
		s.peakDemand()
		s.Pool.SetTarget(s.minConnections()) // work opens the connections of its tenant
		return
	}
	s.Pool.SetTarget(max(s.minConnections(), s.peakDemand()))
}

// refuse ends the wait of a ticket with a refusal.
func (s *Scheduler[C]) refuse(ticket *admit.Ticket[*Permit[C]], code model.Code) {
	ticket.Value.decision <- s.refusal(code)
}

// refusal returns a refusal with the code and the time after which to retry.
func (s *Scheduler[C]) refusal(code model.Code) *model.Refusal {
	counts := s.Pool.Counts()
	refusal := model.Refuse(code, "%d waiting, %d of %d running, %d of %d connections open, %d being opened, %d held by transactions",
		s.queue.Len(), s.running, s.Slots, counts.Open, s.Connections, counts.Opening, s.pinned)
	refusal.RetryAfter = s.drainTime()
	return refusal
}

// DrainTime returns the expected time in which the queue drains, and a connection can be opened if none can now.
func (s *Scheduler[C]) DrainTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applySettings()
	return s.drainTime()
}

// drainTime is DrainTime for a caller that holds the lock.
func (s *Scheduler[C]) drainTime() time.Duration {
	return max(s.queue.RetryAfter(s.Now(), s.Slots), s.BlockedFor())
}

// refuseAll refuses all waiting work.
func (s *Scheduler[C]) refuseAll(code model.Code) {
	for i := range s.pinWaiters {
		for ticket := s.pinWaiters[i].Pop(s.Now(), admit.EligibleAny); ticket != nil; ticket = s.pinWaiters[i].Pop(s.Now(), admit.EligibleAny) {
			ticket.Value.waitingForPin = false
			s.refuse(ticket, code)
		}
	}
	for s.queue.Len() > 0 {
		ticket, verdict := s.queue.Next(s.Now(), admit.EligibleAny)
		if verdict == admit.Run {
			s.queue.Cancel(ticket)
		}
		s.refuse(ticket, code)
	}
}

// pinsWaiting returns the number of transactions that wait to pin a connection.
func (s *Scheduler[C]) pinsWaiting() (waiting int) {
	for rank := model.RankOne; rank <= model.RankThree; rank++ {
		waiting += s.pinWaiters[rank.Index()].Waiting(rank)
	}
	return waiting
}
