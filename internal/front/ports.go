package front

import (
	"context"
	"errors"
	"net"
	"time"

	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// The errors of a caller's connection.
var (
	// ErrResting is returned by Caller.Next when the limit passed before a request came.
	ErrResting = errors.New("no request came in time")
	// ErrClosed is returned by Caller.Next when the caller has ended the session.
	ErrClosed = errors.New("the caller has ended the session")
)

// Caller is one caller's session as its protocol carries it; one goroutine uses it, but for Interrupt and Close.
type Caller interface {
	// Start returns the kind of work that the session is for; an error is a *model.Refusal or ends the session.
	Start() (model.KindID, error)
	// Welcome tells the caller that the session is open.
	Welcome() error
	// Next waits for a request until the limit, or without limit when it is zero; an error that is a *model.Refusal is told to the caller before the end.
	Next(limit time.Time) (statement.Request, error)
	// Answer sends a whole answer, with the state of the session after it.
	Answer(answer *statement.Answer, state statement.State) error
	// Refuse sends a refusal, with the state of the session after it.
	Refuse(refusal *model.Refusal, state statement.State) error
	// Reject sends a refusal in place of the welcome.
	Reject(refusal *model.Refusal) error
	// Interrupt ends a wait in Next with ErrResting.
	Interrupt()
	// Close closes the connection.
	Close() error
}

// Endpoint is an open connection to an instance; one goroutine uses it.
type Endpoint interface {
	// Send sends commands in one go; their answers come in the same order.
	Send(commands []statement.Command) error
	// Receive returns the next answer, or an error after which nothing is known of the commands that are not answered.
	Receive(limit time.Time) (statement.Answer, error)
	// Inspect sends a command that is answered with the instance's standing: a status or a demotion.
	Inspect(command statement.Command, limit time.Time) (statement.Standing, error)
	// Alive reports whether a connection without outstanding answers is still open.
	Alive() bool
	// Close closes the connection, at which the instance rolls an open transaction back.
	Close() error
}

// Platform is what the product needs of the platform that it runs on.
type Platform interface {
	// Accept wraps a caller's connection.
	Accept(conn net.Conn) Caller
	// Dial opens a connection to an instance; a *model.Refusal tells that the instance answered and refused.
	Dial(ctx context.Context, instance directory.Instance) (Endpoint, error)
	// Promote orders that the instance leads its database; a *model.Refusal tells that the order is void.
	Promote(ctx context.Context, holder model.HostID, order Order) error
	Store
}

// Order is one promotion.
type Order struct {
	Database model.DatabaseID
	Instance model.InstanceID
	Token    model.Token
}

// Errors of the store.
var (
	// ErrHistory is returned when the changes after a revision are no longer known.
	ErrHistory = errors.New("the history before the revision is gone")
	// ErrConflict is returned when a row has another revision than the expected one.
	ErrConflict = errors.New("the row has changed")
)

// Store is the part of the platform that keeps rows.
type Store interface {
	// Configuration returns the operators' configuration; with a revision it waits for a newer one.
	Configuration(ctx context.Context, after model.Revision, wait time.Duration) (controller.DirectoryUpdate, model.Revision, error)
	// Instances returns the entries of instances; with a revision it waits for newer ones.
	Instances(ctx context.Context, after model.Revision, wait time.Duration) (controller.DirectoryUpdate, model.Revision, error)
	// Hosts returns the hosts' own rows and their common key; with a revision it waits for newer ones.
	Hosts(ctx context.Context, after model.Revision, wait time.Duration) (Rows, model.Revision, error)
	// SetHost writes a host's row.
	SetHost(ctx context.Context, host controller.Host) error
	// ForgetHost removes a host's row.
	ForgetHost(ctx context.Context, host model.HostID) error
	// CreateKey writes the hosts' common key, unless there is one, which it returns.
	CreateKey(ctx context.Context, key mesh.Key) (mesh.Key, error)
	// Lead reads the row of a database's newest promotion; its revision is zero when there is none.
	Lead(ctx context.Context, database model.DatabaseID) (controller.Promotion, error)
	// SetLead writes the row when it still has the lead's revision; an error other than ErrConflict leaves open whether it did.
	SetLead(ctx context.Context, lead controller.Promotion) error
}

// Rows is what the hosts' own rows tell.
type Rows struct {
	controller.MembershipUpdate
	Key *mesh.Key // nil when it is not among the rows
}
