package endpoint

import (
	"context"
	"time"

	"redwingspread/internal/model"
)

// Instance is one database instance; a call that the instance refuses returns a *model.Refusal.
type Instance interface {
	// Open opens a connection for the host in the term.
	Open(ctx context.Context, host model.HostID, database model.DatabaseID, term model.Term) (Conn, model.InstanceState, error)
	// State returns the state that the instance reports.
	State(ctx context.Context) (model.InstanceState, error)
	// Await waits until the instance has reached the point or the timeout has passed, and returns its state.
	Await(ctx context.Context, minPoint model.Point, timeout time.Duration) (model.InstanceState, error)
	// Fence raises the instance's term, after which the instance refuses work of a lower term.
	Fence(ctx context.Context, term model.Term) (model.InstanceState, error)
	// Promote makes the instance the primary of the term.
	Promote(ctx context.Context, term model.Term) (model.InstanceState, error)
	// Follow makes the instance a replica of the primary of the term.
	Follow(ctx context.Context, term model.Term, primary model.Instance) (model.InstanceState, error)
	// Outcome looks up the recorded result of a request id and reports whether there is one.
	Outcome(ctx context.Context, term model.Term, request model.RequestID) (model.Result, bool, error)
}

// Conn is one open connection; it runs one call at a time and must be closed after a call without an answer.
type Conn interface {
	// ID returns the connection's id.
	ID() model.ConnectionID
	// Run runs one statement in the term, alone or in the open transaction.
	Run(ctx context.Context, term model.Term, work model.Work) (model.Result, model.InstanceState, error)
	// Begin begins a transaction.
	Begin(ctx context.Context, term model.Term) (model.InstanceState, error)
	// Commit commits the open transaction under the request id.
	Commit(ctx context.Context, term model.Term, request model.RequestID) (model.Result, model.InstanceState, error)
	// Rollback rolls the open transaction back.
	Rollback(ctx context.Context) error
	// Close closes the connection, which rolls back its open transaction.
	Close(ctx context.Context) error
}
