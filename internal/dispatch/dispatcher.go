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

// Dispatcher runs the work of one instance: one queue by rank, one set of slots, one pool of connections.
type Dispatcher struct {
	// Host is this host, which opens the connections.
	Host model.HostID
	// Database is the database of the instance.
	Database model.DatabaseID
	// Instance is where the work runs.
	Instance endpoint.Instance
	// Slots is the number of statements that may run at once.
	Slots model.Slots
	// Connections is the number of connections that may be open.
	Connections model.Connections
	// QueueLimit is the number of pieces of work that may wait.
	QueueLimit int
	// RankFloors is the guaranteed share of the slots' time of each rank.
	RankFloors [model.Ranks]model.Percent
	// Policy orders the waiting work.
	Policy admit.Policy[*Turn]
	// Now reads the clock.
	Now func() time.Time

	mutex        sync.Mutex
	queue        admit.Queue[*Turn]
	pool         *pool.Pool[endpoint.Conn]
	term         model.Term
	used         model.Slots                       // statements that run
	pinned       model.Connections                 // connections held by transactions
	pins         [model.Ranks]admit.Arrival[*Turn] // transactions that wait for a connection to hold
	peak         model.Connections                 // greatest number of pinned connections of late
	peaked       time.Time
	stopping     bool
	refused      map[model.Code]int
	transactions map[*Transaction]struct{}
	turns        sync.Pool     // ended turns, for use by later work
	idle         chan struct{} // closed when the dispatcher is stopping and nothing runs any more
	started      bool
	closed       bool // the idle channel is closed
}

const (
	defaultSlots       = 2
	defaultConnections = 15
	defaultQueueLimit  = 1000
	spareConnections   = 2                // connections kept open beyond the slots and the transactions of late
	peakMemory         = 30 * time.Second // time after which the peak of transactions is forgotten
)

// New returns a dispatcher with defaults, whose exported fields are to be set before Run.
func New() *Dispatcher {
	return &Dispatcher{
		Slots:       defaultSlots,
		Connections: defaultConnections,
		QueueLimit:  defaultQueueLimit,
		Policy:      admit.NewFloors[*Turn](),
		Now:         time.Now,
		pool:        pool.New[endpoint.Conn](),
		refused:     make(map[model.Code]int),
		queue:       admit.Queue[*Turn]{Service: admit.NewService()},
		idle:        make(chan struct{}),
		turns:       sync.Pool{New: newTurn},

		transactions: make(map[*Transaction]struct{}),
	}
}

// Run keeps the pool until the context ends, refuses what still waits, lets what runs end and reports its own end on done.
func (d *Dispatcher) Run(ctx context.Context, done chan<- error) {
	d.start()
	poolDone := make(chan error, 1)
	poolContext, stopPool := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPool()
	go d.pool.Run(poolContext, poolDone)
	<-ctx.Done()
	d.stop()
	<-d.idle
	stopPool()
	<-poolDone
	done <- ctx.Err()
}

// start begins the work of the queue; work that came before waits for its connections.
func (d *Dispatcher) start() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.begin()
}

// begin hands the exported fields to the queue and the pool, when the first work or Run comes.
func (d *Dispatcher) begin() {
	if d.started {
		return
	}
	d.Policy.SetFloors(d.RankFloors)
	d.queue.Policy = d.Policy
	d.queue.Limit = d.QueueLimit
	d.pool.Open = d.open
	d.pool.Close = func(ctx context.Context, conn endpoint.Conn) error { return conn.Close(ctx) }
	d.pool.Limit = d.Connections
	d.pool.OnIdle = d.ready
	d.started = true
	d.fill()
}

// stop refuses all waiting work and all that comes later, and ends open transactions, those that are busy after their call.
func (d *Dispatcher) stop() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopping = true
	d.refuseWaiting(model.CodeStopping)
	for transaction := range d.transactions {
		transaction.close()
	}
	d.checkIdle()
}

// Flush refuses all waiting work as not run, so that it goes where its database has moved to.
func (d *Dispatcher) Flush() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refuseWaiting(model.CodeUnavailable)
}

// refuseWaiting refuses all waiting work with the code.
func (d *Dispatcher) refuseWaiting(code model.Code) {
	d.refusePins(code)
	if !d.started {
		return
	}
	for {
		ticket, verdict := d.queue.Next(d.Now(), admit.RoomAny)
		if ticket == nil {
			return
		}
		if verdict == admit.Run {
			d.queue.Cancel(ticket)
		}
		d.refuse(ticket, code)
	}
}

// checkIdle tells Run when the dispatcher is stopping and holds nothing any more.
func (d *Dispatcher) checkIdle() {
	if d.stopping && d.used == 0 && d.pinned == 0 && !d.closed {
		d.closed = true
		close(d.idle)
	}
}

// SetLimits changes how many statements and connections this dispatcher may use.
func (d *Dispatcher) SetLimits(slots model.Slots, connections model.Connections) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if slots == d.Slots && connections == d.Connections {
		return
	}
	d.Slots = slots
	d.Connections = connections
	if !d.started {
		return // begin hands them on
	}
	d.pool.SetLimit(connections)
	d.grantPins()
	d.schedule()
}

// SetFloors changes the guaranteed share of each rank.
func (d *Dispatcher) SetFloors(floors [model.Ranks]model.Percent) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.RankFloors = floors
	d.Policy.SetFloors(floors)
}

// ready starts waiting work when a connection has become idle.
func (d *Dispatcher) ready() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.schedule()
}

// schedule starts waiting work while there is a free slot and a connection for it.
func (d *Dispatcher) schedule() {
	now := d.Now()
	for d.used < d.Slots {
		room := admit.RoomAny
		conn, found := d.pool.Take()
		if !found {
			room = admit.RoomTransaction
		}
		ticket, verdict := d.queue.Next(now, room)
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

// grant lets a ticket's work start on its own connection, or else on the given one.
func (d *Dispatcher) grant(ticket *admit.Ticket[*Turn], conn endpoint.Conn, now time.Time) {
	turn := ticket.Value
	if turn.conn == nil {
		turn.conn = conn
	}
	d.used++
	turn.started = now
	turn.ready <- nil
}

// refuse ends a ticket's wait with a refusal.
func (d *Dispatcher) refuse(ticket *admit.Ticket[*Turn], code model.Code) {
	ticket.Value.ready <- d.refusal(code)
}

// refusal counts a refusal and returns it.
func (d *Dispatcher) refusal(code model.Code) *model.Refusal {
	d.refused[code]++
	refusal := model.Refuse(code, "instance of %s", d.Database)
	refusal.RetryAfter = d.queue.RetryAfter(d.Now(), d.Slots)
	return refusal
}

// fill tells the pool how many connections should be open: slots, transactions of late and a spare.
func (d *Dispatcher) fill() {
	now := d.Now()
	if d.pinned >= d.peak || now.Sub(d.peaked) > peakMemory {
		d.peak = d.pinned
		d.peaked = now
	}
	d.pool.SetTarget(model.Connections(d.Slots) + d.peak + spareConnections)
}

// open opens a connection in the newest term that work came with.
func (d *Dispatcher) open(ctx context.Context) (endpoint.Conn, error) {
	d.mutex.Lock()
	term := d.term
	d.mutex.Unlock()
	conn, _, err := d.Instance.Open(ctx, d.Host, d.Database, term)
	return conn, err
}
