package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/model"
)

// readHeaderTimeout limits the headers of a readiness check or metrics request.
const readHeaderTimeout = 2 * time.Second

// serveReadiness answers readiness checks until the context ends, then sends its result on done.
func (h *Host) serveReadiness(ctx context.Context, done chan<- error) {
	done <- serveHTTP(ctx, h.Settings.ReadyAddress, http.HandlerFunc(h.handleReadiness))
}

// handleReadiness responds to a readiness check, and logs changes.
func (h *Host) handleReadiness(response http.ResponseWriter, _ *http.Request) {
	ready := h.view().Ready && !h.draining()
	if h.loggedReady.Swap(ready) != ready {
		reason := "the directory is loaded"
		if !ready {
			reason = "the host is stopping or has no directory"
		}
		event.ReadyChanged(h.Logger, ready, reason)
	}
	if !ready {
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response.WriteHeader(http.StatusOK)
}

// serveMetrics serves the metrics as text until the context ends, then sends its result on done.
func (h *Host) serveMetrics(ctx context.Context, done chan<- error) {
	if h.Settings.MetricsAddress == "" {
		<-ctx.Done()
		done <- ctx.Err()
		return
	}
	done <- serveHTTP(ctx, model.Address(h.Settings.MetricsAddress), h.withPlacement(http.HandlerFunc(h.handleMetrics)))
}

// handleMetrics responds with the counters and the state of the instances.
func (h *Host) handleMetrics(response http.ResponseWriter, _ *http.Request) {
	view := h.view()
	_, err := fmt.Fprintf(response, "configuration_version %d\nhosts_live %d\n", view.Directory.Version, view.LiveHosts)
	if err == nil {
		err = h.counters.writeText(response)
	}
	if err != nil {
		return // the client has disconnected
	}
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	for id, b := range h.backends {
		counts := b.scheduler.Pool.Counts()
		if _, err := fmt.Fprintf(response, "connections_open{instance=%q} %d\nconnections_refused{instance=%q} %d\nload_tenths{instance=%q} %d\n",
			id, counts.Open, id, counts.Failures, id, b.scheduler.Load()); err != nil {
			return
		}
	}
}

// serveHTTP serves HTTP on an address until the context ends.
func serveHTTP(ctx context.Context, address model.Address, handler http.Handler) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = fmt.Errorf("front: %w", err)
		}
	}()
	listener, err := net.Listen("tcp4", string(address))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	err = server.Close()
	<-served
	return errors.Join(err, ctx.Err())
}
