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

// readHeaderTimeout limits a question of the balancer and one for the metrics.
const readHeaderTimeout = 2 * time.Second

// serveReadiness answers whether the host takes new sessions until the context ends, and reports its end on done.
func (h *Host) serveReadiness(ctx context.Context, done chan<- error) {
	done <- serveHTTP(ctx, h.Settings.ReadyAddress, http.HandlerFunc(h.handleReadiness))
}

// handleReadiness answers one question.
func (h *Host) handleReadiness(response http.ResponseWriter, _ *http.Request) {
	ready := h.view().Ready && !h.draining()
	if h.loggedReady.Swap(ready) != ready {
		reason := "the directory is known"
		if !ready {
			reason = "the host stops or knows no directory"
		}
		event.ReadyChanged(h.Logger, ready, reason)
	}
	if !ready {
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	response.WriteHeader(http.StatusOK)
}

// serveMetrics serves the counters as text until the context ends, and reports its end on done.
func (h *Host) serveMetrics(ctx context.Context, done chan<- error) {
	if h.Settings.MetricsAddress == "" {
		<-ctx.Done()
		done <- ctx.Err()
		return
	}
	done <- serveHTTP(ctx, model.Address(h.Settings.MetricsAddress), http.HandlerFunc(h.handleMetrics))
}

// handleMetrics answers with the counters and the state of the instances.
func (h *Host) handleMetrics(response http.ResponseWriter, _ *http.Request) {
	view := h.view()
	_, err := fmt.Fprintf(response, "configuration_version %d\nhosts_live %d\n", view.Directory.Version, view.Hosts)
	if err == nil {
		err = h.counters.writeText(response)
	}
	if err != nil {
		return // the asker is gone
	}
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	for id, m := range h.backends {
		counts := m.lane.Pool.Counts()
		if _, err := fmt.Fprintf(response, "connections_open{instance=%q} %d\nconnections_refused{instance=%q} %d\nload_tenths{instance=%q} %d\n",
			id, counts.Open, id, counts.Refused, id, m.lane.Load()); err != nil {
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
