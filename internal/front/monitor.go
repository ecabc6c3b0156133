package front

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/limit"
	"redwingspread/internal/model"
)

// Limits of a readiness check or metrics request and of its connection.
const (
	readHeaderTimeout = 2 * time.Second
	readBodyTimeout   = 2 * time.Second // with the headers; these requests have no body
	answerTimeout     = 5 * time.Second
	idleTimeout       = 30 * time.Second // between two requests on a connection
	maxHeaderBytes    = 8 << 10
)

// serveReadiness answers readiness checks until the context ends, then sends its result on done.
func (h *Host) serveReadiness(ctx context.Context, done chan<- error) {
	done <- serveHTTP(ctx, h.Settings.ReadyAddress, h.listenerLimit(), http.HandlerFunc(h.handleReadiness))
}

// handleReadiness responds to a readiness check, and logs changes.
func (h *Host) handleReadiness(response http.ResponseWriter, _ *http.Request) {
	ready, reason := h.readiness()
	if h.loggedReady.Swap(ready) != ready {
		event.ReadyChanged(h.Logger, ready, reason)
	}
	if !ready {
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response.WriteHeader(http.StatusOK)
}

// readiness reports whether the host serves new sessions, and why.
func (h *Host) readiness() (ready bool, reason string) {
	view := h.view()
	switch {
	case !view.Ready || h.draining():
		return false, "the host is stopping or has no directory"
	case view.Directory.KeyedOnly() && h.outdated():
		return false, "the host has had no word of the API keys in force for too long, and no kind of work is public"
	default:
		return true, "the directory is loaded"
	}
}

// serveMetrics serves the metrics as text until the context ends, then sends its result on done.
func (h *Host) serveMetrics(ctx context.Context, done chan<- error) {
	if h.Settings.MetricsAddress == "" {
		<-ctx.Done()
		done <- ctx.Err()
		return
	}
	done <- serveHTTP(ctx, model.Address(h.Settings.MetricsAddress), h.listenerLimit(), h.withPlacement(http.HandlerFunc(h.handleMetrics)))
}

// handleMetrics responds with the counters and the state of the instances.
//
// The text is complete before any of it is sent: a client that does not read must not keep the locks of the host.
func (h *Host) handleMetrics(response http.ResponseWriter, _ *http.Request) {
	var text bytes.Buffer
	if err := h.writeMetrics(&text); err != nil {
		response.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = response.Write(text.Bytes()) // the client may have disconnected
}

// writeMetrics writes the counters and the state of the instances.
func (h *Host) writeMetrics(out io.Writer) error {
	view := h.view()
	_, err := fmt.Fprintf(out, "configuration_version %d\nhosts_live %d\nstore_era %d\n", view.Directory.Version, view.LiveHosts, view.Directory.Position.Era)
	if err == nil {
		err = h.counters.writeText(out)
	}
	if err == nil {
		err = h.counters.tenants.writeText(out)
	}
	if err == nil {
		err = h.writeMemory(out)
	}
	if err != nil {
		return err
	}
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	for id, b := range h.backends {
		counts, totals := b.scheduler.Pool.Counts(), b.replicaSet.outliers.totals(id)
		if _, err := fmt.Fprintf(out, "connections_open{instance=%q} %d\nconnections_refused{instance=%q} %d\nload_tenths{instance=%q} %d\ninstance_failures{instance=%q} %d\ninstance_ejections{instance=%q} %d\n",
			id, counts.Open, id, counts.Failures, id, b.scheduler.Load(), id, totals.Failures, id, totals.Ejections); err != nil {
			return err
		}
	}
	return nil
}

// serveHTTP serves HTTP on an address, on a limited number of connections, until the context ends.
func serveHTTP(ctx context.Context, address model.Address, connections int, handler http.Handler) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = fmt.Errorf("front: %w", err)
		}
	}()
	listener, err := net.Listen("tcp4", string(address))
	if err != nil {
		return err
	}
	rotating := limit.NewRotatingListener(listener)
	rotating.Limit = connections
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readBodyTimeout, WriteTimeout: answerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(rotating) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	err = server.Close()
	<-served
	return errors.Join(err, ctx.Err())
}
