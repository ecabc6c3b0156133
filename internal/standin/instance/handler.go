package instance

import (
	"fmt"
	"net/http"

	"redwingspread/internal/standin"
	"redwingspread/internal/standin/fault"
	"redwingspread/pkg/api/endpointapi"
	"redwingspread/pkg/api/standinapi"
)

// Handler returns the handler of the endpoint and stand-in interfaces.
func (i *Instance) Handler() http.Handler {
	endpoints, err := endpointapi.NewServer(endpointServer{i}, endpointapi.WithErrorHandler(standin.WriteInvalid))
	if err != nil {
		panic(fmt.Sprintf("endpoint interface: %v", err))
	}
	admin, err := standinapi.NewServer(standinServer{i}, standinapi.WithErrorHandler(standin.WriteInvalid))
	if err != nil {
		panic(fmt.Sprintf("stand-in interface: %v", err))
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/faults", admin)
	mux.Handle("/v1/members", admin)
	mux.Handle("/v1/log", &fault.Handler{Injector: i.Faults, Next: admin})
	mux.Handle("/", &fault.Handler{Injector: i.Faults, Next: endpoints, RunOnce: opensConnection})
	return mux
}

// opensConnection reports whether the request opens a connection, which a doubled request would leak.
func opensConnection(r *http.Request) bool {
	return r.URL.Path == "/v1/connections"
}
