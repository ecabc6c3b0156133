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

// healthPath is requested by the platform's load balancer, which has no token.
const healthPath = "/v1/health"

// failureLogInterval is the minimum time between two log events of failed connections or refused peers.
const failureLogInterval = time.Second

// publicTLSOn is the value of the setting public-tls that turns TLS on for callers and operators.
const publicTLSOn = "on"

// requireCallerToken returns a handler that requires a caller's token.
func (d *Daemon) requireCallerToken(next http.Handler) http.Handler {
	guard := auth.NewGuard()
	guard.Policy = func() *config.Policy { return d.loop.Snapshot().Policy }
	guard.FirstOperator = d.firstOperator
	guard.OpenAccess = d.openAccess
	guard.API = "caller"
	guard.Log = d.Logger
	guard.Refuse = proxy.WriteRefusal
	return guard.Require(requiredRole, next)
}

// connectionFailureLogger returns a function that logs failed connections of an API, at most one per second.
func (d *Daemon) connectionFailureLogger(api string) func(reason string) {
	limiter := rate.Sometimes{Interval: failureLogInterval}
	return func(reason string) {
		limiter.Do(func() { event.ConnectionRefused(d.Logger, api, reason) })
	}
}

// peerRefusalLogger returns a function that logs refused certificates of peers, at most one per second.
func (d *Daemon) peerRefusalLogger() func(name string, err error) {
	limiter := rate.Sometimes{Interval: failureLogInterval}
	return func(name string, err error) {
		limiter.Do(func() { event.PeerRefused(d.Logger, name, err) })
	}
}

// requiredRole returns the role that a request of the caller API needs; it is empty for none.
func requiredRole(r *http.Request) config.Role {
	if r.URL.Path == healthPath {
		return ""
	}
	return config.RoleCaller
}

// publicTLS returns the TLS configuration of the caller and operator APIs, or nil when it is off.
func (d *Daemon) publicTLS() *tls.Config {
	if d.Settings.PublicTLS != publicTLSOn {
		return nil
	}
	return d.Keys.PublicTLS()
}
