package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"redwingspread/internal/standin"
	"redwingspread/internal/standin/fault"
	"redwingspread/pkg/api/platformapi"
	"redwingspread/pkg/api/standinapi"
)

// Platform is the stand-in of the platform's service.
type Platform struct {
	// Members are on the list from the start.
	Members []Member
	// ListLag is how far the list of members lies behind while the faults set no lag.
	ListLag time.Duration
	// Faults are what goes wrong.
	Faults *fault.Injector
	// Now reads the clock.
	Now func() time.Time

	actor *standin.Actor[core]
}

// sweepInterval is the time between two looks at nothing, since the service keeps everything.
const sweepInterval = time.Hour

// New returns a platform whose exported fields are to be set before Run.
func New() *Platform {
	return &Platform{
		Faults: fault.New(1),
		Now:    time.Now,
		actor:  standin.NewActor[core](),
	}
}

// Run owns the service's state until the context ends and reports its own end on done.
func (p *Platform) Run(ctx context.Context, done chan<- error) {
	owned := newCore()
	for _, member := range p.Members {
		owned.setMember(time.Time{}, member)
	}
	p.actor.Run(ctx, owned, sweepInterval, func(*core) {})
	done <- ctx.Err()
}

// listLag returns the lag of the list in force.
func (p *Platform) listLag() time.Duration {
	if lag := p.Faults.Faults().Lag; lag != nil {
		return *lag
	}
	return p.ListLag
}

// Handler returns the handler of the platform and stand-in interfaces.
func (p *Platform) Handler() http.Handler {
	service, err := platformapi.NewServer(platformServer{p}, platformapi.WithErrorHandler(standin.WriteInvalid))
	if err != nil {
		panic(fmt.Sprintf("platform interface: %v", err))
	}
	admin, err := standinapi.NewServer(standinServer{p}, standinapi.WithErrorHandler(standin.WriteInvalid))
	if err != nil {
		panic(fmt.Sprintf("stand-in interface: %v", err))
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/faults", admin)
	mux.Handle("PUT /v1/members", admin)
	mux.Handle("/", &fault.Handler{Injector: p.Faults, Next: service})
	return mux
}
