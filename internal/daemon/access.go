package daemon

import (
	"crypto/tls"
	"net/http"

	"redwingspread/internal/config"
	"redwingspread/internal/proxy"
	"redwingspread/internal/trust"
)

// healthPath is asked by the platform's balancer, which has no token.
const healthPath = "/v1/health"

// publicTLSOn is the value of the setting that turns TLS on for callers and operators.
const publicTLSOn = "on"

// guardCallers lets requests through that show a caller's token.
func (d *Daemon) guardCallers(next http.Handler) http.Handler {
	guard := trust.NewGuard()
	guard.Policy = func() *config.Policy { return d.loop.Snapshot().Policy }
	guard.First = trust.FirstOperator(d.Settings)
	guard.Open = d.open
	guard.API = "caller"
	guard.Log = d.Logger
	guard.Refuse = proxy.WriteRefusal
	return guard.Require(callerRight, next)
}

// callerRight returns the right that a request of the caller interface needs.
func callerRight(r *http.Request) config.Right {
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
