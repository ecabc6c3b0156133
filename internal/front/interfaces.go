package front

import (
	"context"
	"errors"
	"net"
	"time"

	"redwingspread/internal/directory"
	"redwingspread/internal/governor"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// The errors of a caller's connection.
var (
	// ErrNoRequest is returned by Caller.Next when the limit passed before a request came.
	ErrNoRequest = errors.New("no request came in time")
	// ErrClosed is returned by Caller.Next when the caller has ended the session.
	ErrClosed = errors.New("the caller has ended the session")
)

// Caller is one caller's session as its protocol carries it; one goroutine uses it, but for Interrupt and Close.
type Caller interface {
	// ReadStart returns the kind of work that the session is for; an error is a *model.Refusal or ends the session.
	ReadStart() (model.KindID, error)
	// AcceptSession tells the caller that the session is open.
	AcceptSession() error
	// ReadRequest waits for a request until the limit, or without limit when it is zero; an error that is a *model.Refusal is told to the caller before the end.
	ReadRequest(limit time.Time) (statement.Request, error)
	// SendResponse sends a whole answer, with the state of the session after it.
	SendResponse(answer *statement.Response, state statement.State) error
	// SendRefusal sends a refusal, with the state of the session after it.
	SendRefusal(refusal *model.Refusal, state statement.State) error
	// RejectSession sends a refusal in place of the welcome.
	RejectSession(refusal *model.Refusal) error
	// Interrupt ends a wait in Next with ErrResting.
	Interrupt()
	// Close closes the connection.
	Close() error
}

// InstanceConn is an open connection to an instance; one goroutine uses it.
type InstanceConn interface {
	// Send sends commands in one go; their answers come in the same order.
	Send(commands []statement.Command) error
	// Receive returns the next answer, or an error after which nothing is known of the commands that are not answered.
	Receive(limit time.Time) (statement.Response, error)
	// RequestStatus sends a command that is answered with the instance's standing: a status or a demotion.
	RequestStatus(command statement.Command, limit time.Time) (statement.InstanceStatus, error)
	// Alive reports whether a connection without outstanding answers is still open.
	Alive() bool
	// Close closes the connection, at which the instance rolls an open transaction back.
	Close() error
}

// Platform is what the product needs of the platform that it runs on.
type Platform interface {
	// NewCaller wraps a caller's connection.
	NewCaller(conn net.Conn) Caller
	// Dial opens a connection to an instance; a *model.Refusal tells that the instance answered and refused.
	Dial(ctx context.Context, instance directory.Instance) (InstanceConn, error)
	// Promote orders that the instance leads its database; a *model.Refusal tells that the order is void.
	Promote(ctx context.Context, holder model.HostID, order PromotionOrder) error
	Store
}

// PromotionOrder is one promotion.
type PromotionOrder struct {
	Database model.DatabaseID
	Instance model.InstanceID
	Token    model.Token
}

// Errors of the store.
var (
	// ErrHistoryTruncated is returned when the changes after a revision are no longer known.
	ErrHistoryTruncated = errors.New("the history before the revision is gone")
	// ErrConflict is returned when a row has another revision than the expected one.
	ErrConflict = errors.New("the row has changed")
)

// Store is the part of the platform that keeps rows.
type Store interface {
	// Configuration returns the operators' configuration; with a revision it waits for a newer one.
	Configuration(ctx context.Context, after model.Revision, wait time.Duration) (governor.News, model.Revision, error)
	// Instances returns the entries of instances; with a revision it waits for newer ones.
	Instances(ctx context.Context, after model.Revision, wait time.Duration) (governor.News, model.Revision, error)
	// Hosts returns the hosts' own rows and their common key; with a revision it waits for newer ones.
	Hosts(ctx context.Context, after model.Revision, wait time.Duration) (HostRows, model.Revision, error)
	// WriteHost writes a host's row.
	WriteHost(ctx context.Context, host governor.Host) error
	// DeleteHost removes a host's row.
	DeleteHost(ctx context.Context, host model.HostID) error
	// CreateKey writes the hosts' common key, unless there is one, which it returns.
	CreateKey(ctx context.Context, key mesh.Key) (mesh.Key, error)
	// ReadPromotion reads the row of a database's newest promotion; its revision is zero when there is none.
	ReadPromotion(ctx context.Context, database model.DatabaseID) (governor.Lead, error)
	// WritePromotion writes the row when it still has the lead's revision; an error other than ErrConflict leaves open whether it did.
	WritePromotion(ctx context.Context, lead governor.Lead) error
}

// HostRows is what the hosts' own rows tell.
type HostRows struct {
	governor.Roster
	Key *mesh.Key // nil when it is not among the rows
}
