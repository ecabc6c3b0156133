package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/internal/trust"
	"redwingspread/internal/view"
	"redwingspread/pkg/api/operatorapi"
)

// apiName names the interface in the log.
const apiName = "operator"

// maxBodyBytes is the largest body of an operator's request in bytes: a document and what is about it.
const maxBodyBytes = config.MaxDocumentBytes + 64<<10

// Queue is the work that waits for one instance on this host, of one rank.
type Queue struct {
	Database model.DatabaseID
	Instance model.InstanceID
	Rank     model.Rank
	Waiting  int
}

// RefusalCount counts the work for one instance that this host refused for one reason.
type RefusalCount struct {
	Database model.DatabaseID
	Instance model.InstanceID
	Code     model.Code
	Count    int64
}

// Server serves the operator interface of one host.
type Server struct {
	// Self is this host.
	Self model.Host
	// View returns the newest view.
	View func() *view.View
	// Ledger keeps the accepted configurations.
	Ledger *ledger.Ledger
	// Apply takes a configuration that was committed, to put it into force on this host.
	Apply func(version model.Version, document string, policy *config.Policy)
	// Queues returns the work that waits on this host.
	Queues func() []Queue
	// Refusals returns the counts of refused requests.
	Refusals func() []RefusalCount
	// FirstOperator is the token of the first operator.
	FirstOperator config.Token
	// Open lets every request in, for trials on the loopback.
	Open bool
	// Now reads the clock.
	Now func() time.Time
	// Log takes the events.
	Log log.Interface

	tracker *rolloutTracker
}

// New returns a server whose required fields View, Ledger, Accept and Log are to be set before Handler.
func New() *Server {
	return &Server{
		Queues:   func() []Queue { return nil },
		Refusals: func() []RefusalCount { return nil },
		Now:      time.Now,
		tracker:  newRolloutTracker(),
	}
}

// Run measures how soon accepted configurations are in force until the context ends, and reports its end on done.
func (s *Server) Run(ctx context.Context, done chan<- error) {
	done <- s.tracker.run(ctx, s.Now, s.View)
}

// Handler returns the interface with its checks of tokens and limits on sizes.
func (s *Server) Handler() (handler http.Handler, err error) {
	api, err := operatorapi.NewServer(s, operatorapi.WithErrorHandler(refuseRequest))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", api)
	mux.HandleFunc("GET /debug/vars", s.writeMetrics)
	mux.HandleFunc("GET /{$}", s.writePage)
	guard := trust.NewGuard()
	guard.Policy = func() *config.Policy { return s.View().Policy }
	guard.First = s.FirstOperator
	guard.Open = s.Open
	guard.API = apiName
	guard.Log = s.Log
	guard.Refuse = writeRefusal
	return http.MaxBytesHandler(guard.Require(requiredRole, mux), maxBodyBytes), nil
}

// requiredRole returns the right that a request needs: to change takes an operator, to look a reader.
func requiredRole(r *http.Request) config.Role {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return config.RoleReader
	}
	return config.RoleOperator
}
