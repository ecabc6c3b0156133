package endpoint

import (
	"context"
	"time"

	"redwingspread/internal/model"
)

// Instance is one database instance; each call returns a *model.Refusal when the instance refuses.
type Instance interface {
	// Open opens a connection for the host in the term.
	Open(ctx context.Context, host model.HostID, database model.DatabaseID, term model.Term) (Conn, model.InstanceState, error)
	// State returns what the instance says of itself.
	State(ctx context.Context) (model.InstanceState, error)
	// Await returns the instance's state when it holds the point, or as it is when the limit has passed.
	Await(ctx context.Context, least model.Point, limit time.Duration) (model.InstanceState, error)
	// Fence raises the instance's term, after which work of a lower term is refused.
	Fence(ctx context.Context, term model.Term) (model.InstanceState, error)
	// Promote makes the instance primary of the term.
	Promote(ctx context.Context, term model.Term) (model.InstanceState, error)
	// Follow makes the instance a replica of the primary of the term.
	Follow(ctx context.Context, term model.Term, primary model.Instance) (model.InstanceState, error)
	// Outcome returns the recorded result of a request id, and whether there is one.
	Outcome(ctx context.Context, term model.Term, request model.RequestID) (model.Result, bool, error)
}

// Conn is one open connection; it runs one call at a time and is closed when an answer stays away.
type Conn interface {
	// ID returns the connection's name.
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
