package daemon

import (
	"crypto/tls"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"redwingspread/internal/auth"
	"redwingspread/internal/config"
	"redwingspread/internal/event"
	"redwingspread/internal/proxy"
)

// healthPath is asked by the platform's balancer, which has no token.
const healthPath = "/v1/health"

// failureLogInterval is the least time between two log events of failed connections.
const failureLogInterval = time.Second

// publicTLSOn is the value of the setting that turns TLS on for callers and operators.
const publicTLSOn = "on"

// requireCallerToken lets requests through that show a caller's token.
func (d *Daemon) requireCallerToken(next http.Handler) http.Handler {
	guard := auth.NewGuard()
	guard.Policy = func() *config.Policy { return d.loop.Snapshot().Policy }
	guard.FirstOperator = d.firstOperator
	guard.OpenAccess = d.openAccess
	guard.API = "caller"
	guard.Log = d.Logger
	guard.Refuse = proxy.WriteRefusal
	return guard.Require(requiredRight, next)
}

// connectionFailureLogger returns a function that logs failed connections of an interface, one a second at most.
func (d *Daemon) connectionFailureLogger(api string) func(reason string) {
	sometimes := rate.Sometimes{Interval: failureLogInterval}
	return func(reason string) {
		sometimes.Do(func() { event.ConnectionRefused(d.Logger, api, reason) })
	}
}

// peerRefusalLogger returns a function that logs refused certificates of peers, one a second at most.
func (d *Daemon) peerRefusalLogger() func(name string, err error) {
	sometimes := rate.Sometimes{Interval: failureLogInterval}
	return func(name string, err error) {
		sometimes.Do(func() { event.PeerRefused(d.Logger, name, err) })
	}
}

// requiredRight returns the right that a request of the caller interface needs.
func requiredRight(r *http.Request) config.Right {
	if r.URL.Path == healthPath {
		return ""
	}
	return config.RightCaller
}

// publicTLS returns the TLS of the caller and operator interfaces, or nil when it is off.
func (d *Daemon) publicTLS() *tls.Config {
	if d.Settings.PublicTLS != publicTLSOn {
		return nil
	}
	return d.Keys.PublicTLS()
}
