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

// probeServerTimeout limits a question of the balancer and one for the metrics.
const probeServerTimeout = 2 * time.Second

// answerReady answers whether the host takes new sessions until the context ends, and reports its end on done.
func (h *Host) answerReady(ctx context.Context, done chan<- error) {
	done <- serve(ctx, h.Settings.ReadyAddress, http.HandlerFunc(h.readiness))
}

// readiness answers one question.
func (h *Host) readiness(response http.ResponseWriter, _ *http.Request) {
	ready := h.view().Ready && !h.closing()
	if h.ready.Swap(ready) != ready {
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
	done <- serve(ctx, model.Address(h.Settings.MetricsAddress), http.HandlerFunc(h.metrics))
}

// metrics answers with the counters and the state of the instances.
func (h *Host) metrics(response http.ResponseWriter, _ *http.Request) {
	view := h.view()
	_, err := fmt.Fprintf(response, "configuration_version %d\nhosts_live %d\n", view.Directory.Version, view.LiveHosts)
	if err == nil {
		err = h.counters.write(response)
	}
	if err != nil {
		return // the asker is gone
	}
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	for id, m := range h.members {
		counts := m.lane.Pool.Counts()
		if _, err := fmt.Fprintf(response, "connections_open{instance=%q} %d\nconnections_refused{instance=%q} %d\nload_tenths{instance=%q} %d\n",
			id, counts.Open, id, counts.Failures, id, m.lane.Load()); err != nil {
			return
		}
	}
}

// serve serves HTTP on an address until the context ends.
func serve(ctx context.Context, address model.Address, handler http.Handler) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = fmt.Errorf("front: %w", err)
		}
	}()
	listener, err := net.Listen("tcp4", string(address))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: probeServerTimeout}
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
