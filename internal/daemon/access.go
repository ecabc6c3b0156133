package daemon

import (
	"crypto/tls"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"redwingspread/internal/config"
	"redwingspread/internal/event"
	"redwingspread/internal/proxy"
	"redwingspread/internal/trust"
)

// healthPath is asked by the platform's balancer, which has no token.
const healthPath = "/v1/health"

// failureInterval is the least time between two log events of failed connections.
const failureInterval = time.Second

// publicTLSOn is the value of the setting that turns TLS on for callers and operators.
const publicTLSOn = "on"

// guardCallers lets requests through that show a caller's token.
func (d *Daemon) guardCallers(next http.Handler) http.Handler {
	guard := trust.NewGuard()
	guard.Policy = func() *config.Policy { return d.loop.Snapshot().Policy }
	guard.First = d.first
	guard.Open = d.open
	guard.API = "caller"
	guard.Log = d.Logger
	guard.Refuse = proxy.WriteRefusal
	return guard.Require(callerRight, next)
}

// failedConnection returns a function that logs failed connections of an interface, one a second at most.
func (d *Daemon) failedConnection(api string) func(reason string) {
	sometimes := rate.Sometimes{Interval: failureInterval}
	return func(reason string) {
		sometimes.Do(func() { event.ConnectionRefused(d.Logger, api, reason) })
	}
}

// refusedPeer returns a function that logs refused certificates of peers, one a second at most.
func (d *Daemon) refusedPeer() func(name string, err error) {
	sometimes := rate.Sometimes{Interval: failureInterval}
	return func(name string, err error) {
		sometimes.Do(func() { event.PeerRefused(d.Logger, name, err) })
	}
}

// callerRight returns the right that a request of the caller interface needs.
func callerRight(r *http.Request) config.Role {
	if r.URL.Path == healthPath {
		return ""
	}
	return config.RoleCaller
}

// publicTLS returns the TLS of the caller and operator interfaces, or nil when it is off.
func (d *Daemon) publicTLS() *tls.Config {
	if d.Settings.PublicTLS != publicTLSOn {
		return nil
	}
	return d.Keys.PublicTLS()
}
