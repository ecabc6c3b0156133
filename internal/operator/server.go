package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/auth"
	"redwingspread/internal/budget"
	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
	"redwingspread/pkg/api/operatorapi"
)

// apiName is the name of the operator API in log events.
const apiName = "operator"

// maxBodyBytes is the limit on a request body: the largest document and some room for the fields around it.
const maxBodyBytes = config.MaxDocumentBytes + 64<<10

// Queue is the number of requests of one rank that wait for one instance on this host.
type Queue struct {
	Database model.DatabaseID
	Instance model.InstanceID
	Rank     model.Rank
	Waiting  int
}

// RefusalCount is the number of requests for one instance that this host refused with one code.
type RefusalCount struct {
	Database model.DatabaseID
	Instance model.InstanceID
	Code     model.Code
	Count    int64
}

// Server serves the operator API of one host.
type Server struct {
	// Self is this host.
	Self model.Host
	// View returns the newest view of the fleet.
	View func() *view.View
	// Ledger stores the accepted configurations.
	Ledger *ledger.Ledger
	// Apply puts a committed configuration into force on this host.
	Apply func(version model.Version, document string, policy *config.Policy)
	// Queues returns the numbers of requests that wait on this host.
	Queues func() []Queue
	// Refusals returns the counts of refused requests.
	Refusals func() []RefusalCount
	// Replaced returns the number of connections that were closed in favour of others.
	Replaced func() int64
	// Wrap adds middleware around the handler of requests whose token has been checked.
	Wrap func(http.Handler) http.Handler
	// Memory is the budget for bodies of requests and for answers; nil for none.
	Memory *budget.Budget
	// FirstOperator is the token of the first operator, which works before any configuration holds tokens.
	FirstOperator config.Token
	// OpenAccess allows every request, for test deployments on the loopback interface.
	OpenAccess bool
	// Now returns the current time.
	Now func() time.Time
	// Log receives the events.
	Log log.Interface

	tracker *rolloutTracker
}

// New returns a server; the fields View, Ledger, Apply and Log must be set before Handler is called.
func New() *Server {
	return &Server{
		Queues:   func() []Queue { return nil },
		Refusals: func() []RefusalCount { return nil },
		Replaced: func() int64 { return 0 },
		Wrap:     func(next http.Handler) http.Handler { return next },
		Now:      time.Now,
		tracker:  newRolloutTracker(),
	}
}

// Run measures how soon accepted configurations are in force on each host; when the context ends, it sends its error on done.
func (s *Server) Run(ctx context.Context, done chan<- error) {
	done <- s.tracker.run(ctx, s.Now, s.View)
}

// Handler returns the handler of the operator API, which checks tokens and limits the size of requests.
func (s *Server) Handler() (handler http.Handler, err error) {
	api, err := operatorapi.NewServer(s, operatorapi.WithErrorHandler(refuseRequest))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", api)
	mux.HandleFunc("GET /debug/vars", s.writeMetrics)
	mux.HandleFunc("GET /{$}", s.writePage)
	guard := auth.NewGuard()
	guard.Policy = func() *config.Policy { return s.View().Policy }
	guard.FirstOperator = s.FirstOperator
	guard.OpenAccess = s.OpenAccess
	guard.API = apiName
	guard.Log = s.Log
	guard.Refuse = writeRefusal
	return http.MaxBytesHandler(guard.Require(requiredRole, s.Wrap(mux)), maxBodyBytes), nil
}

// requiredRole returns the role that a request needs: operator for changes, reader for all else.
func requiredRole(r *http.Request) config.Role {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return config.RoleReader
	}
	return config.RoleOperator
}
