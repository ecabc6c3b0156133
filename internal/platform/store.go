package platform

import (
	"context"

	"redwingspread/internal/model"
)

// Row is one row of the table service; version 0 means that it does not exist.
type Row struct {
	Key      model.RowKey
	Version  model.Version
	Revision model.Revision
	Value    string
}

// Check is a condition of a transaction: the row still has the version.
type Check struct {
	Key     model.RowKey
	Version model.Version
}

// Put is the write of one row.
type Put struct {
	Key   model.RowKey
	Value string
}

// CommitResult is the result of a transaction, with the written rows or the current rows of the failed checks.
type CommitResult struct {
	Committed bool
	Rows      []Row
}

// Members is the platform's list of hosts and endpoints, which may be seconds out of date.
type Members struct {
	Hosts     []model.Host
	Instances []model.Instance
}

// Store is the platform's service. After an error the outcome of a write is unknown, unless the error is a *model.Refusal with NotRun set.
type Store interface {
	// Rows returns the rows with the key prefix that changed after the revision, and the table's current revision.
	Rows(ctx context.Context, prefix model.RowKey, after model.Revision) ([]Row, model.Revision, error)
	// Commit writes all rows if every check holds, otherwise none.
	Commit(ctx context.Context, checks []Check, puts []Put) (CommitResult, error)
	// Object returns one object, or a refusal with CodeNotFound.
	Object(ctx context.Context, name model.ObjectName) (string, error)
	// PutObject writes one object.
	PutObject(ctx context.Context, name model.ObjectName, content string) error
	// Objects returns the names of the objects with the prefix, in order.
	Objects(ctx context.Context, prefix model.ObjectName) ([]model.ObjectName, error)
	// Members returns the list of hosts and endpoints.
	Members(ctx context.Context) (Members, error)
}
