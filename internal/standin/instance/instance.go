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

// Instance is one stand-in instance of a database.
type Instance struct {
	// ID names this instance.
	ID model.InstanceID
	// Database is what the instance holds.
	Database model.DatabaseID
	// Primary is where the first primary answers; empty when this instance is it.
	Primary model.Address
	// Slots limits the statements that run at once.
	Slots model.Slots
	// Connections limits the open connections.
	Connections model.Connections
	// ConnectionCost is the time to open a connection.
	ConnectionCost time.Duration
	// ServiceTime is how long a statement holds its slot.
	ServiceTime time.Duration
	// Lag is the replication lag while the faults set none.
	Lag time.Duration
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout time.Duration
	// Faults are what goes wrong.
	Faults *fault.Injector
	// HTTP reaches the primary.
	HTTP *http.Client
	// Now reads the clock.
	Now func() time.Time

	actor *standin.Actor[core]
}

// The defaults of an instance.
const (
	defaultSlots       = 2
	defaultConnections = 15
	defaultIdleTimeout = time.Minute
	sweepInterval      = time.Second
)

// New returns an instance whose exported fields are to be set before Run.
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

// Run owns the instance's state until the context ends and reports its own end on done.
func (i *Instance) Run(ctx context.Context, done chan<- error) {
	replicated := make(chan error, 1)
	go i.replicate(ctx, replicated)
	sizes := limits{slots: i.Slots, connections: i.Connections, idleTimeout: i.IdleTimeout}
	owned := newCore(i.ID, i.Database, sizes, i.Primary, i.Now())
	i.actor.Run(ctx, owned, sweepInterval, func(c *core) { c.closeIdle(i.Now()) })
	done <- <-replicated
}

// ask runs a command on the instance's state and returns its result.
func ask[T any](ctx context.Context, i *Instance, command func(*core) (T, error)) (T, error) {
	return standin.Ask(ctx, i.actor, func(c *core) (T, error) {
		c.leaving = i.Faults.Faults().Leaving
		return command(c)
	})
}

// tell runs a command on the instance's state.
func tell(ctx context.Context, i *Instance, command func(*core) error) error {
	_, err := ask(ctx, i, func(c *core) (struct{}, error) { return struct{}{}, command(c) })
	return err
}
