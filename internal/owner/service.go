package owner

import (
	"context"

	"redwingspread/internal/model"
)

// Service runs work at the owner of its database, on this host or on another.
type Service interface {
	// Execute runs a statement, alone or in the transaction that the work names.
	Execute(ctx context.Context, work model.Work) (model.Result, error)
	// Begin begins a transaction and returns its name in the result.
	Begin(ctx context.Context, work model.Work) (model.Result, error)
	// Commit commits the work's transaction under its request id.
	Commit(ctx context.Context, work model.Work) (model.Result, error)
	// Rollback rolls the work's transaction back.
	Rollback(ctx context.Context, work model.Work) error
	// Outcome resolves the recorded outcome of the work's request id.
	Outcome(ctx context.Context, work model.Work) (model.Result, error)
}
