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

// handOverPoll is the time between two looks whether every database was handed over.
const handOverPoll = 10 * time.Millisecond

// operatorBodyLimit is the largest body of an operator's request in bytes: a document and what is about it.
const operatorBodyLimit = config.MaxDocumentBytes + 64<<10

// allRequests is the number of requests, in request limits, that are read at once; the rank of one is known once it is read.
const allRequests = 2

// buildServers makes the servers of the caller, peer and operator interfaces and opens their sockets.
func (d *Daemon) buildServers() error {
	callers, err := d.proxy.Handler()
	if err != nil {
		return err
	}
	peers := d.peerServer()
	limited := limit.NewCallerLimiter[string]()
	limited.PerCaller = d.Settings.CallerLimit
	limited.Total = allRequests * d.Settings.RequestLimit
	guarded := d.guardCallers(callers)
	caller := serve.New(d.Settings.CallerAddress, limit.Handler(limited, d.tracer.Handler("caller", guarded)))
	caller.TLS = d.publicTLS()
	caller.Failed = d.failedConnection("caller")
	caller.ConnectionLimit = d.Settings.ConnectionLimit
	caller.DrainLimit = d.Settings.StopLimit
	operating := d.operatorServer()
	operators, err := operating.Handler()
	if err != nil {
		return err
	}
	operator := serve.New(d.Settings.OperatorAddress, operators)
	operator.BodyLimit = operatorBodyLimit
	operator.TLS = d.publicTLS()
	operator.Failed = d.failedConnection("operator")
	for _, listener := range []interface{ Listen() error }{caller, peers, operator} {
		if err := listener.Listen(); err != nil {
			return err
		}
	}
	d.parts = []part{
		{"caller", caller.Run},
		{"hand-over", d.handOver},
		{"peer", peers.Run},
		{"transactions", d.executor.Run},
		{"instances", d.instances.Run},
		{"operator", operator.Run},
		{"measurement", operating.Run},
		{"control", d.loop.Run},
	}
	return nil
}

// peerServer makes the server of the peer interface.
func (d *Daemon) peerServer() *peer.Server {
	server := peer.NewServer()
	server.Address = d.Settings.PeerAddress
	server.Work = d.executor
	server.Control = &peerControl{loop: d.loop}
	server.DrainLimit = d.Settings.StopLimit
	server.Wrap = func(next http.Handler) http.Handler { return d.tracer.Handler("owner", next) }
	d.Keys.Refused = d.refusedPeer()
	server.TLS = d.Keys.ServerTLS()
	return server
}

// serve runs the parts until the context ends or one fails, then stops them in their order.
func (d *Daemon) serve(ctx context.Context) error {
	base := context.WithoutCancel(ctx)
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	started := make([]*running, 0, len(d.parts))
	for _, part := range d.parts {
		started = append(started, start(base, part, fail))
	}
	<-ctx.Done()
	event.Stopping(d.Logger, string(d.host.ID))
	d.drain(base)
	d.loop.Offer(fleet.Stop{})
	var err error
	for _, running := range started {
		err = errors.Join(err, running.wait())
	}
	return err
}

// drain lets open transactions end before the databases are handed over, for half of the time that a stop may take.
func (d *Daemon) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.Settings.StopLimit/2)
	defer cancel()
	d.executor.Drain(ctx)
}

// handOver waits, once the daemon stops, until this host owns no database, no host is left to take one, or the limit has passed.
func (d *Daemon) handOver(ctx context.Context, done chan<- error) {
	<-ctx.Done()
	limit := time.NewTimer(d.Settings.StopLimit)
	defer limit.Stop()
	ticker := time.NewTicker(handOverPoll)
	defer ticker.Stop()
	for d.ownsAny() && d.hasSuccessor() {
		select {
		case <-ticker.C:
		case <-limit.C:
			done <- nil
			return
		}
	}
	done <- nil
}

// hasSuccessor reports whether another host may take a database over.
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
