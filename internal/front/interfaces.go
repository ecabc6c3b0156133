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

// Errors of a caller's connection.
var (
	// ErrNoRequest is returned by Caller.ReadStart and Caller.ReadRequest when the time limit passed, or Interrupt was called, before
	// a message was read.
	ErrNoRequest = errors.New("no request came in time")
	// ErrClosed is returned by Caller.ReadRequest when the caller has ended the session.
	ErrClosed = errors.New("the caller has ended the session")
	// ErrNoRoom is returned by InstanceConn.Receive for a response for which there is no memory; the connection is not usable any more.
	ErrNoRoom = errors.New("there is no memory for the answer")
)

// Start is a caller's message that opens a session.
type Start struct {
	Kind model.KindID
	Key  model.KeyDigest // digest of the API key
}

// Caller is the protocol side of one caller's session; only Interrupt, StalledSince and Close are safe for concurrent use, and AwaitClose
// beside the sending of responses.
type Caller interface {
	// ReadStart returns what the session is for; an error is either a *model.Refusal or ends the session.
	ReadStart() (Start, error)
	// AcceptSession tells the caller that the session is open.
	AcceptSession() error
	// ReadRequest waits for a request until the limit; a zero limit waits forever. A *model.Refusal error is sent to the caller before the session ends.
	ReadRequest(limit time.Time) (statement.Request, error)
	// SendResponse sends a complete response and the session state after it.
	SendResponse(response *statement.Response, state statement.State) error
	// SendRefusal sends a refusal and the session state after it.
	SendRefusal(refusal *model.Refusal, state statement.State) error
	// RejectSession refuses to open the session.
	RejectSession(refusal *model.Refusal) error
	// AwaitClose waits until the caller has closed its connection and returns true, or false once the context ends. What the caller has
	// sent ahead is left to ReadRequest. A caller that has only closed its sending side is present.
	AwaitClose(ctx context.Context) (closed bool)
	// Interrupt makes a pending ReadStart or ReadRequest return ErrNoRequest, also when a message has just arrived.
	Interrupt()
	// StalledSince returns since when the caller owes the rest of a message, or its START; stalled is false if it owes nothing. It is
	// safe for concurrent use.
	StalledSince() (since time.Time, stalled bool)
	// Close closes the connection.
	Close() error
}

// InstanceConn is an open connection to an instance; it is not safe for concurrent use.
type InstanceConn interface {
	// Send sends commands as one batch; their responses arrive in the same order.
	Send(commands []statement.Command) error
	// Receive returns the next response; after an error the outcome of all unanswered commands is unknown.
	Receive(limit time.Time) (statement.Response, error)
	// RequestStatus sends a status or demote command and returns the instance status in the response.
	RequestStatus(command statement.Command, limit time.Time) (statement.InstanceStatus, error)
	// Alive reports whether a connection without outstanding responses is still open.
	Alive() bool
	// Close closes the connection; the instance then rolls back an open transaction.
	Close() error
}

// Platform abstracts the platform that the host runs on.
type Platform interface {
	// NewCaller wraps an accepted caller connection.
	NewCaller(conn net.Conn) Caller
	// Dial opens a connection to an instance, in the name of the tenant unless that is empty; a *model.Refusal error means that the
	// instance responded with a refusal.
	Dial(ctx context.Context, instance directory.Instance, tenant model.TenantID) (InstanceConn, error)
	// Promote orders the promotion of an instance to primary; a *model.Refusal error means that the order is invalid.
	Promote(ctx context.Context, holder model.HostID, order PromotionOrder) error
	Store
}

// PromotionOrder asks for the promotion of one instance.
type PromotionOrder struct {
	Database model.DatabaseID
	Instance model.InstanceID
	Token    model.Token
}

// Errors of the store.
var (
	// ErrHistoryTruncated is returned when the store no longer has the changes after a revision.
	ErrHistoryTruncated = errors.New("change history after the revision is no longer available")
	// ErrConflict is returned when the row's revision is not the expected one.
	ErrConflict = errors.New("row revision conflict")
	// ErrStoreRestored is returned when the store has come back from an older copy, so that what was read before may be gone.
	ErrStoreRestored = errors.New("the store has come back from an older copy")
)

// Store is the part of the platform that stores rows.
type Store interface {
	// Configuration returns the operators' configuration and the position up to which it was read; with a revision it waits for a newer one.
	//
	// In another era than that of the revision it returns ErrStoreRestored and the position that the store has reached, whose revision is
	// zero if the store lacks the given one.
	Configuration(ctx context.Context, after model.StorePosition, wait time.Duration) (controller.DirectoryUpdate, model.StorePosition, error)
	// Instances is Configuration for the instance entries.
	Instances(ctx context.Context, after model.StorePosition, wait time.Duration) (controller.DirectoryUpdate, model.StorePosition, error)
	// Hosts is Configuration for the rows of the hosts' own table.
	Hosts(ctx context.Context, after model.StorePosition, wait time.Duration) (HostRows, model.StorePosition, error)
	// WriteHost writes a host's row.
	WriteHost(ctx context.Context, host controller.Host) error
	// DeleteHost deletes a host's row.
	DeleteHost(ctx context.Context, host model.HostID) error
	// CreateKey stores the hosts' shared key unless one exists, and returns the stored key.
	CreateKey(ctx context.Context, key mesh.Key) (mesh.Key, error)
	// ReadPromotion reads the row of a database's newest promotion; its revision is zero when there is none, and its era is set in any case.
	ReadPromotion(ctx context.Context, database model.DatabaseID) (controller.Promotion, error)
	// WritePromotion writes the row if its revision is unchanged, and the promotions of its era too; after an error other than ErrConflict
	// the row may or may not have been written.
	WritePromotion(ctx context.Context, promotion controller.Promotion) error
}

// HostRows holds the decoded rows of the hosts' own table: hosts, promotions and the shared key.
type HostRows struct {
	controller.MembershipUpdate
	Key *mesh.Key // nil when no row has it
}
