package front

import (
	"net"
	"time"

	"redwingspread/internal/controller"
	"redwingspread/internal/event"
)

const (
	leaveRotation = 2300 * time.Millisecond // two questions of the balancer, one a second, that find the host not ready
	nudge         = 100 * time.Millisecond  // between two looks at sessions that may end
	haltShare     = 2                       // open transactions end by themselves within this part of the time to stop
	exitMargin    = time.Second             // before the kill
)

// stop lets the sessions end: first the balancer sends no new ones, then those without a transaction end, at last all.
func (h *Host) stop(listener net.Listener, accepted <-chan error) {
	event.Stopping(h.Logger, string(h.self.ID))
	begun := time.Now()
	h.Loop.Offer(controller.Stop{})
	limit := h.Settings.StopLimit
	rotated := begun.Add(min(leaveRotation, limit/haltShare))
	halt := begun.Add(limit / haltShare)
	exit := begun.Add(limit - min(exitMargin, limit/4))
	ticker := time.NewTicker(nudge)
	defer ticker.Stop()
	listening := true
	for now := begun; now.Before(exit); now = <-ticker.C {
		switch {
		case !now.Before(halt):
			h.stage.Store(halting)
		case !now.Before(rotated):
			h.stage.Store(closing)
		}
		if h.closing() {
			h.interrupt()
			if listening {
				listening = false
				h.closeListener(listener)
			}
		}
		select {
		case <-accepted:
			return
		default:
		}
	}
	h.mutex.RLock()
	for v := range h.visits {
		v.closeNow()
	}
	h.mutex.RUnlock()
}

// closeListener closes the listener.
func (h *Host) closeListener(listener net.Listener) {
	if err := listener.Close(); err != nil {
		event.DependencyLost(h.Logger, "listener", err)
	}
}

// closeNow closes the session's connection while it is used; what it waits for ends with an error.
func (v *visit) closeNow() {
	if err := v.caller.Close(); err != nil {
		event.TransactionEnded(v.host.Logger, v.kind, "", 0, err.Error())
	}
}
