package proxy

import (
	"time"

	"redwingspread/internal/model"
)

// Request is one decoded request of a caller.
type Request struct {
	ID          model.RequestID
	Database    model.DatabaseID
	Kind        model.KindID
	Operation   string
	Arguments   map[string]string
	MaxAge      *model.Age // nil for the kind's default
	Token       string     // session token; empty to start a session
	Transaction model.TransactionID
	Timeout     time.Duration // zero for the kind's default deadline
}

// Answer is the complete answer to one request.
type Answer struct {
	Result model.Result
	Token  string // session token for the next request
	Host   model.HostID
}
