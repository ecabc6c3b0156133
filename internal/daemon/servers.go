package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/event"
	"redwingspread/internal/fleet"
	"redwingspread/internal/limit"
	"redwingspread/internal/peer"
	"redwingspread/internal/serve"
	"redwingspread/internal/view"
)

// handOverPollInterval is the time between two checks whether every database was handed over.
const handOverPollInterval = 10 * time.Millisecond

// operatorBodyLimit is the maximum size of an operator's request body in bytes: a document and its envelope.
const operatorBodyLimit = config.MaxDocumentBytes + 64<<10

// readRequestFactor is the number of requests that may be read at once, as a multiple of the request limit.
// It exceeds 1 since a request's rank is only known once the request is read.
const readRequestFactor = 2

// buildServers creates the servers of the caller, peer and operator APIs and opens their sockets.
func (d *Daemon) buildServers() error {
	callers, err := d.proxy.Handler()
	if err != nil {
		return err
	}
	peers := d.peerServer()
	limiter := limit.NewCallerLimiter[string]()
	limiter.PerCaller = d.Settings.CallerLimit
	limiter.Total = readRequestFactor * d.Settings.RequestLimit
	guarded := d.requireCallerToken(serve.LimitBodies(d.memory, limit.Handler(limiter, callers)))
	caller := serve.New(d.Settings.CallerAddress, d.tracer.Handler("caller", guarded))
	caller.TLS = d.publicTLS()
	caller.OnConnectionError = d.connectionFailureLogger("caller")
	caller.ConnectionLimit = d.connectionLimit()
	caller.Replaced = &d.replaced
	caller.DrainTimeout = d.Settings.StopLimit
	operatorServer := d.operatorServer()
	operators, err := operatorServer.Handler()
	if err != nil {
		return err
	}
	operator := serve.New(d.Settings.OperatorAddress, operators)
	operator.BodyLimit = operatorBodyLimit
	operator.TLS = d.publicTLS()
	operator.ConnectionLimit = d.Settings.OperatorConnectionLimit
	operator.Replaced = &d.replaced
	operator.OnConnectionError = d.connectionFailureLogger("operator")
	for _, listener := range []interface{ Listen() error }{caller, peers, operator} {
		if err := listener.Listen(); err != nil {
			return err
		}
	}
	d.components = []component{
		{"caller", caller.Run},
		{"hand-over", d.waitForHandOver},
		{"peer", peers.Run},
		{"transactions", d.executor.Run},
		{"instances", d.instances.Run},
		{"operator", operator.Run},
		{"measurement", operatorServer.Run},
		{"control", d.loop.Run},
	}
	return nil
}

// peerServer creates the server of the peer API.
func (d *Daemon) peerServer() *peer.Server {
	server := peer.NewServer()
	server.Address = d.Settings.PeerAddress
	server.Service = d.executor
	server.Control = &peerControl{loop: d.loop}
	server.DrainTimeout = d.Settings.StopLimit
	server.Wrap = func(next http.Handler) http.Handler { return d.tracer.Handler("owner", next) }
	d.Keys.OnRefused = d.peerRefusalLogger()
	server.TLS = d.Keys.ServerTLS()
	return server
}

// serve runs the components until the context ends or one fails, then stops them in order.
func (d *Daemon) serve(ctx context.Context) error {
	runCtx := context.WithoutCancel(ctx)
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	started := make([]*runningComponent, 0, len(d.components))
	for _, component := range d.components {
		started = append(started, start(runCtx, component, fail))
	}
	<-ctx.Done()
	event.Stopping(d.Logger, string(d.host.ID))
	d.drain(runCtx)
	d.loop.Offer(fleet.Stop{})
	var err error
	for _, running := range started {
		err = errors.Join(err, running.stopAndWait())
	}
	return err
}

// drain waits for open transactions before the databases are handed over, for at most half of the stop limit.
func (d *Daemon) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.Settings.StopLimit/2)
	defer cancel()
	d.executor.Drain(ctx)
}

// waitForHandOver does nothing until its context ends. It then waits until this host owns no database, no other host is alive to take
// one over, or the stop limit has passed.
func (d *Daemon) waitForHandOver(ctx context.Context, done chan<- error) {
	<-ctx.Done()
	timeout := time.NewTimer(d.Settings.StopLimit)
	defer timeout.Stop()
	ticker := time.NewTicker(handOverPollInterval)
	defer ticker.Stop()
	for d.ownsAny() && d.hasSuccessor() {
		select {
		case <-ticker.C:
		case <-timeout.C:
			done <- nil
			return
		}
	}
	done <- nil
}

// hasSuccessor reports whether another host is alive, which may take databases over.
func (d *Daemon) hasSuccessor() bool {
	for id, host := range d.loop.Snapshot().Hosts {
		if id != d.host.ID && host.Liveness == view.Alive {
			return true
		}
	}
	return false
}

// ownsAny reports whether this host still owns a database.
func (d *Daemon) ownsAny() bool {
	for _, database := range d.loop.Snapshot().Databases {
		if database.Owner == d.host.ID {
			return true
		}
	}
	return false
}
