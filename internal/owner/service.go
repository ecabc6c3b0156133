package owner

import (
	"context"

	"redwingspread/internal/model"
)

// Service runs work on the host that owns its database, whether this one or another.
type Service interface {
	// Execute runs a statement, on its own or in the transaction that the work names.
	Execute(ctx context.Context, work model.Work) (model.Result, error)
	// Begin begins a transaction and returns its id in the result.
	Begin(ctx context.Context, work model.Work) (model.Result, error)
	// Commit commits the work's transaction under the work's request id.
	Commit(ctx context.Context, work model.Work) (model.Result, error)
	// Rollback rolls the work's transaction back.
	Rollback(ctx context.Context, work model.Work) error
	// Outcome returns the recorded outcome of the work's request id.
	Outcome(ctx context.Context, work model.Work) (model.Result, error)
}
