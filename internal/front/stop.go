package front

import (
	"context"
	"net"
	"time"

	"redwingspread/internal/controller"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
)

const (
	balancerDelay           = 2300 * time.Millisecond // two failed readiness checks of the load balancer, which checks once a second, with a margin
	stopInterval            = 100 * time.Millisecond  // between two checks for sessions that may end
	transactionGraceDivisor = 2                       // open transactions may finish within the stop limit divided by this, which also caps the balancer delay
	exitMargin              = time.Second             // time kept at the end of the stop limit, after which the process is killed
)

// stageNames are the names of the stages in the log.
var stageNames = map[int32]string{stageDraining: "draining", stageTerminating: "terminating"}

// stop shuts sessions down in stages: first the load balancer takes the host out of rotation, then sessions without a transaction
// end, then all sessions. At the exit time, the connections that are still open are closed.
func (h *Host) stop(listener net.Listener, accepted <-chan error) {
	event.Stopping(h.Logger, string(h.self.ID))
	started := time.Now()
	h.beginStop()
	limit := h.Settings.StopLimit
	drainAt := started.Add(min(balancerDelay, limit/transactionGraceDivisor))
	terminateAt := started.Add(limit / transactionGraceDivisor)
	exitAt := started.Add(limit - min(exitMargin, limit/4))
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	listening := true
	for now := started; now.Before(exitAt); now = <-ticker.C {
		switch {
		case !now.Before(terminateAt):
			h.enterStage(stageTerminating, now.Sub(started))
		case !now.Before(drainAt):
			h.enterStage(stageDraining, now.Sub(started))
		}
		if h.draining() {
			h.interruptSessions()
			if listening {
				listening = false
				h.closeListener(listener)
			}
		}
		select {
		case <-accepted:
			accepted = nil // own sessions have ended; others may be open that other hosts pass on
		default:
		}
		if accepted == nil && h.sessionCount() == 0 {
			return
		}
	}
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	event.StopStage(h.Logger, "closing", len(h.openSessions), model.Millis(time.Since(started)))
	for s := range h.openSessions {
		s.closeCaller()
	}
}

// beginStop tells the other hosts that this one stops, and has requests refused that they have passed on and that have not begun, so
// that these hosts send them elsewhere while there is time.
func (h *Host) beginStop() {
	h.stopBegun.Store(true)
	h.Loop.Offer(controller.Stop{})
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	for s := range h.openSessions {
		if end := s.endWait.Load(); end != nil {
			(*end)()
		}
	}
}

// beginWait returns a context for a wait of a session that another host passes on; it ends when this host begins to stop. The
// caller calls the function after the wait.
func (s *callerSession) beginWait(ctx context.Context) (context.Context, func()) {
	waitCtx, cancel := context.WithCancel(ctx)
	s.endWait.Store(&cancel)
	if s.host.stopBegun.Load() {
		cancel() // beginStop may have looked before
	}
	return waitCtx, func() {
		s.endWait.Store(nil)
		cancel()
	}
}

// refusesToStop reports whether the statement is refused since another host has passed it on and this one stops.
func (e *execution) refusesToStop() bool { return e.session.relayed && e.session.host.stopBegun.Load() }

// refuseStopping returns the refusal of a statement that another host is to send elsewhere.
func refuseStopping() *model.Refusal {
	return model.Refuse(model.CodeStopping, "the host that keeps the connections stops")
}

// extendStart gives a statement that a stopping holder has refused the time in which it would be sent had it arrived now, since a
// planned stop must not cost it its time.
func (e *execution) extendStart(refusal *model.Refusal) {
	if refusal == nil || refusal.Code != model.CodeStopping {
		return
	}
	e.renewStart(time.Now())
}

// enterStage puts a stage of the shutdown in force and logs it once.
func (h *Host) enterStage(stage int32, after time.Duration) {
	if h.stage.Swap(stage) == stage {
		return
	}
	event.StopStage(h.Logger, stageNames[stage], h.sessionCount(), model.Millis(after))
}

// sessionCount returns the number of open sessions, those that other hosts pass on included.
func (h *Host) sessionCount() int {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return len(h.openSessions)
}

// closeListener closes the listener.
func (h *Host) closeListener(listener net.Listener) {
	if err := listener.Close(); err != nil {
		event.CloseFailed(h.Logger, "listener of sessions", err)
	}
}

// closeCaller closes the session's connection while it is in use; pending calls on it return an error.
func (s *callerSession) closeCaller() {
	if err := s.caller.Close(); err != nil {
		event.CloseFailed(s.host.Logger, "connection of a caller", err)
	}
}
