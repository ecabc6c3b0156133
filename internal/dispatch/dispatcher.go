package dispatch

import (
	"context"
	"sync"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/pool"
)

// Dispatcher runs the work of one instance, with a queue ordered by a policy, a number of slots and a connection pool.
type Dispatcher struct {
	// Host is the host that opens the connections, which is this one.
	Host model.HostID
	// Database is the database of the instance.
	Database model.DatabaseID
	// Instance is the instance that runs the work.
	Instance endpoint.Instance
	// Slots is the maximum number of statements that run at once.
	Slots model.Slots
	// Connections is the maximum number of open connections.
	Connections model.Connections
	// QueueLimit is the maximum number of waiting tasks, and of transactions of each rank that wait for a connection.
	QueueLimit int
	// RankFloors is the guaranteed share of slot time of each rank.
	RankFloors [model.RankCount]model.Percent
	// Policy orders the waiting work.
	Policy admit.Policy[*Task]
	// Now returns the current time.
	Now func() time.Time

	mutex          sync.Mutex
	queue          admit.Queue[*Task]
	pool           *pool.Pool[endpoint.Conn]
	term           model.Term                         // newest term that work came with
	running        model.Slots                        // statements that run
	pinned         model.Connections                  // connections that are pinned by a transaction or reserved for one
	pinWaiters     [model.RankCount]admit.FIFO[*Task] // transactions that wait to pin a connection, by rank
	pinnedPeak     model.Connections                  // recent peak of pinned
	pinnedPeakTime time.Time                          // when pinnedPeak was set
	stopping       bool
	refused        map[model.Code]int        // number of refusals by reason
	transactions   map[*Transaction]struct{} // open transactions
	tasks          sync.Pool                 // unused tasks
	drained        chan struct{}             // closed when the dispatcher is stopping and nothing runs any more
	started        bool
	drainedClosed  bool
}

const (
	defaultSlots       = 2
	defaultConnections = 15
	defaultQueueLimit  = 1000
	spareConnections   = 2                // connections kept open beyond the slots and the recent peak of transactions
	pinnedPeakTTL      = 30 * time.Second // time after which the peak of pinned connections is forgotten
)

// New returns a dispatcher with defaults; its exported fields must be set before Run.
func New() *Dispatcher {
	return &Dispatcher{
		Slots:       defaultSlots,
		Connections: defaultConnections,
		QueueLimit:  defaultQueueLimit,
		Policy:      admit.NewFairShare[*Task](),
		Now:         time.Now,
		pool:        pool.New[endpoint.Conn](),
		refused:     make(map[model.Code]int),
		queue:       admit.Queue[*Task]{ServiceTimes: admit.NewServiceTimes()},
		drained:     make(chan struct{}),
		tasks:       sync.Pool{New: newTask},

		transactions: make(map[*Transaction]struct{}),
	}
}

// Run maintains the pool until the context ends, then refuses waiting work, waits for running work and sends its error to
// done.
func (d *Dispatcher) Run(ctx context.Context, done chan<- error) {
	d.start()
	poolDone := make(chan error, 1)
	poolContext, stopPool := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPool()
	go d.pool.Run(poolContext, poolDone)
	<-ctx.Done()
	d.stop()
	<-d.drained
	stopPool()
	<-poolDone
	done <- ctx.Err()
}

// start applies the settings if no earlier work did so; such work waits until the pool has opened connections.
func (d *Dispatcher) start() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.applySettings()
}

// applySettings passes the exported fields on to the queue and the pool, once; the caller holds the lock.
func (d *Dispatcher) applySettings() {
	if d.started {
		return
	}
	d.Policy.SetFloors(d.RankFloors)
	d.queue.Policy = d.Policy
	d.queue.Limit = d.QueueLimit
	d.pool.Open = func(ctx context.Context, _ model.TenantID) (endpoint.Conn, error) { return d.open(ctx) }
	d.pool.Close = func(ctx context.Context, conn endpoint.Conn) error { return conn.Close(ctx) }
	d.pool.Limit = d.Connections
	d.pool.OnIdle = d.connectionReady
	d.started = true
	d.updatePoolTarget()
}

// stop refuses all waiting and later work and ends open transactions, each after the call that runs on it.
func (d *Dispatcher) stop() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopping = true
	d.refuseWaiting(model.CodeStopping)
	for transaction := range d.transactions {
		transaction.closeLocked()
	}
	d.checkDrained()
}

// Flush refuses all waiting work as not run, so that it is retried where its database has moved to.
func (d *Dispatcher) Flush() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refuseWaiting(model.CodeUnavailable)
}

// refuseWaiting refuses all waiting work.
func (d *Dispatcher) refuseWaiting(code model.Code) {
	d.refusePins(code)
	if !d.started {
		return
	}
	for {
		ticket, verdict := d.queue.Next(d.Now(), admit.EligibleAny)
		if ticket == nil {
			return
		}
		if verdict == admit.Run {
			d.queue.Cancel(ticket)
		}
		d.refuse(ticket, code)
	}
}

// checkDrained signals Run once the dispatcher is stopping and nothing runs or holds a connection any more.
func (d *Dispatcher) checkDrained() {
	if d.stopping && d.running == 0 && d.pinned == 0 && !d.drainedClosed {
		d.drainedClosed = true
		close(d.drained)
	}
}

// SetLimits changes the maximum numbers of running statements and open connections.
func (d *Dispatcher) SetLimits(slots model.Slots, connections model.Connections) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if slots == d.Slots && connections == d.Connections {
		return
	}
	d.Slots = slots
	d.Connections = connections
	if !d.started {
		return // applySettings passes them on
	}
	d.pool.SetLimit(connections)
	d.grantPins()
	d.schedule()
}

// SetFloors changes the guaranteed share of slot time of each rank.
func (d *Dispatcher) SetFloors(floors [model.RankCount]model.Percent) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.RankFloors = floors
	d.Policy.SetFloors(floors)
}

// connectionReady starts waiting work; the pool calls it when a connection has become idle.
func (d *Dispatcher) connectionReady() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.schedule()
}

// schedule starts waiting work while there is a free slot and a connection for it; transactions have one already.
func (d *Dispatcher) schedule() {
	now := d.Now()
	for d.running < d.Slots {
		eligible := admit.EligibleAny
		conn, found := d.pool.Take()
		if !found {
			eligible = admit.EligibleTransactions
		}
		ticket, verdict := d.queue.Next(now, eligible)
		if found && (verdict != admit.Run || ticket.Value.conn != nil) {
			d.pool.Put(conn)
		}
		if ticket == nil {
			return
		}
		if verdict == admit.Late {
			d.refuse(ticket, model.CodeDeadline)
			continue
		}
		d.grant(ticket, conn, now)
	}
}

// grant starts the work of a ticket, on the connection of its transaction or else on the given one.
func (d *Dispatcher) grant(ticket *admit.Ticket[*Task], conn endpoint.Conn, now time.Time) {
	task := ticket.Value
	if task.conn == nil {
		task.conn = conn
	}
	d.running++
	task.started = now
	task.decision <- nil
}

// refuse ends the wait of a ticket with a refusal.
func (d *Dispatcher) refuse(ticket *admit.Ticket[*Task], code model.Code) {
	ticket.Value.decision <- d.refusal(code)
}

// refusal returns a refusal with the code and counts it.
func (d *Dispatcher) refusal(code model.Code) *model.Refusal {
	d.refused[code]++
	refusal := model.Refuse(code, "instance of %s", d.Database)
	refusal.RetryAfter = d.queue.RetryAfter(d.Now(), d.Slots)
	return refusal
}

// updatePoolTarget sets the number of connections that the pool should have open: the slots, the recent peak of
// transactions and some spare ones.
func (d *Dispatcher) updatePoolTarget() {
	now := d.Now()
	if d.pinned >= d.pinnedPeak || now.Sub(d.pinnedPeakTime) > pinnedPeakTTL {
		d.pinnedPeak = d.pinned
		d.pinnedPeakTime = now
	}
	d.pool.SetTarget(model.Connections(d.Slots) + d.pinnedPeak + spareConnections)
}

// open opens a connection with the newest term that work came with.
func (d *Dispatcher) open(ctx context.Context) (endpoint.Conn, error) {
	d.mutex.Lock()
	term := d.term
	d.mutex.Unlock()
	conn, _, err := d.Instance.Open(ctx, d.Host, d.Database, term)
	return conn, err
}
