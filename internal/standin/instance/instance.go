package instance

import (
	"context"
	"net/http"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/internal/standin"
	"redwingspread/internal/standin/fault"
)

// Instance is a stand-in for one instance of a database.
type Instance struct {
	// ID identifies this instance.
	ID model.InstanceID
	// Database is the database that the instance serves.
	Database model.DatabaseID
	// Primary is the address of the initial primary; empty if this instance is the primary.
	Primary model.Address
	// Slots is the maximum number of statements that run concurrently.
	Slots model.Slots
	// Connections is the maximum number of open connections.
	Connections model.Connections
	// ConnectionCost is the time that opening a connection takes.
	ConnectionCost time.Duration
	// ServiceTime is the time for which a statement occupies its slot.
	ServiceTime time.Duration
	// Lag is the replication lag unless the injected faults set another.
	Lag time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// Faults holds the injected faults.
	Faults *fault.Injector
	// HTTP is the client for requests to the primary.
	HTTP *http.Client
	// Now returns the current time.
	Now func() time.Time

	actor *standin.Actor[core]
}

// Defaults of an instance, and the interval at which idle connections are closed.
const (
	defaultSlots       = 2
	defaultConnections = 15
	defaultIdleTimeout = time.Minute
	idleCheckInterval  = time.Second
)

// New returns an instance with default settings. Its exported fields must be set before Run.
func New() *Instance {
	return &Instance{
		Slots:       defaultSlots,
		Connections: defaultConnections,
		IdleTimeout: defaultIdleTimeout,
		Faults:      fault.New(1),
		HTTP:        &http.Client{Transport: outbound.NewTransport()},
		Now:         time.Now,
		actor:       standin.NewActor[core](),
	}
}

// Run executes commands and replicates until the context ends, then sends the reason on done.
func (i *Instance) Run(ctx context.Context, done chan<- error) {
	replicationDone := make(chan error, 1)
	go i.replicate(ctx, replicationDone)
	capacity := limits{slots: i.Slots, connections: i.Connections, idleTimeout: i.IdleTimeout}
	initial := newCore(i.ID, i.Database, capacity, i.Primary, i.Now())
	i.actor.Run(ctx, initial, idleCheckInterval, func(c *core) { c.closeIdle(i.Now()) })
	done <- <-replicationDone
}

// ask runs a command in the instance's goroutine and returns its result.
func ask[T any](ctx context.Context, i *Instance, command func(*core) (T, error)) (T, error) {
	return standin.Ask(ctx, i.actor, func(c *core) (T, error) {
		c.leaving = i.Faults.Faults().Leaving
		return command(c)
	})
}

// tell runs a command without a result in the instance's goroutine.
func tell(ctx context.Context, i *Instance, command func(*core) error) error {
	_, err := ask(ctx, i, func(c *core) (struct{}, error) { return struct{}{}, command(c) })
	return err
}
