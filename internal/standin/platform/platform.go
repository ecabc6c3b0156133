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

// Platform is a stand-in for the platform's service.
type Platform struct {
	// Members is the initial member list.
	Members []Member
	// ListLag is the delay with which the member list shows updates, unless the injected faults set another.
	ListLag time.Duration
	// Faults holds the injected faults.
	Faults *fault.Injector
	// Now returns the current time.
	Now func() time.Time

	actor *standin.Actor[core]
}

// periodicInterval is the interval of the actor's periodic task, which does nothing, since the service never expires anything.
const periodicInterval = time.Hour

// New returns a platform with default settings. Its exported fields must be set before Run.
func New() *Platform {
	return &Platform{
		Faults: fault.New(1),
		Now:    time.Now,
		actor:  standin.NewActor[core](),
	}
}

// Run executes commands until the context ends, then sends the reason on done.
func (p *Platform) Run(ctx context.Context, done chan<- error) {
	initial := newCore()
	for _, member := range p.Members {
		initial.setMember(time.Time{}, member)
	}
	p.actor.Run(ctx, initial, periodicInterval, func(*core) {})
	done <- ctx.Err()
}

// listLag returns the current lag of the member list.
func (p *Platform) listLag() time.Duration {
	if lag := p.Faults.Faults().Lag; lag != nil {
		return *lag
	}
	return p.ListLag
}

// Handler returns the HTTP handler of the platform and stand-in APIs. Faults apply to the platform API only.
func (p *Platform) Handler() http.Handler {
	service, err := platformapi.NewServer(platformServer{p}, platformapi.WithErrorHandler(standin.WriteInvalid))
	if err != nil {
		panic(fmt.Sprintf("create platform API server: %v", err))
	}
	admin, err := standinapi.NewServer(standinServer{p}, standinapi.WithErrorHandler(standin.WriteInvalid))
	if err != nil {
		panic(fmt.Sprintf("create stand-in API server: %v", err))
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/faults", admin)
	mux.Handle("PUT /v1/members", admin)
	mux.Handle("/", &fault.Handler{Injector: p.Faults, Next: service})
	return mux
}
