package instance

import (
	"fmt"
	"net/http"

	"redwingspread/internal/standin"
	"redwingspread/internal/standin/fault"
	"redwingspread/pkg/api/endpointapi"
	"redwingspread/pkg/api/standinapi"
)

// Handler returns the HTTP handler of the endpoint and stand-in APIs. Faults do not apply to the requests that set them.
func (i *Instance) Handler() http.Handler {
	endpoints, err := endpointapi.NewServer(endpointServer{i}, endpointapi.WithErrorHandler(standin.WriteInvalid))
	if err != nil {
		panic(fmt.Sprintf("create endpoint API server: %v", err))
	}
	admin, err := standinapi.NewServer(standinServer{i}, standinapi.WithErrorHandler(standin.WriteInvalid))
	if err != nil {
		panic(fmt.Sprintf("create stand-in API server: %v", err))
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/faults", admin)
	mux.Handle("/v1/members", admin)
	mux.Handle("/v1/log", &fault.Handler{Injector: i.Faults, Next: admin})
	mux.Handle("/", &fault.Handler{Injector: i.Faults, Next: endpoints, RunOnce: opensConnection})
	return mux
}

// opensConnection reports whether the request opens a connection. Such a request is not duplicated, since the second connection
// would leak.
func opensConnection(r *http.Request) bool {
	return r.URL.Path == "/v1/connections"
}
