package front

import (
	"net"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/governor"
)

const (
	balancerDelay    = 2300 * time.Millisecond // two questions of the balancer, one a second, that find the host not ready
	stopInterval     = 100 * time.Millisecond  // between two looks at sessions that may end
	terminateDivisor = 2                       // open transactions end by themselves within this part of the time to stop
	exitMargin       = time.Second             // before the kill
)

// stop lets the sessions end: first the balancer sends no new ones, then those without a transaction end, at last all.
func (h *Host) stop(listener net.Listener, accepted <-chan error) {
	event.Stopping(h.Logger, string(h.self.ID))
	begun := time.Now()
	h.Loop.Offer(governor.Stop{})
	limit := h.Settings.StopLimit
	rotated := begun.Add(min(balancerDelay, limit/terminateDivisor))
	halt := begun.Add(limit / terminateDivisor)
	exit := begun.Add(limit - min(exitMargin, limit/4))
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	listening := true
	for now := begun; now.Before(exit); now = <-ticker.C {
		switch {
		case !now.Before(halt):
			h.stage.Store(stageTerminating)
		case !now.Before(rotated):
			h.stage.Store(stageDraining)
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
			return
		default:
		}
	}
	h.mutex.RLock()
	for v := range h.openSessions {
		v.closeCaller()
	}
	h.mutex.RUnlock()
}

// closeListener closes the listener.
func (h *Host) closeListener(listener net.Listener) {
	if err := listener.Close(); err != nil {
		event.DependencyLost(h.Logger, "listener", err)
	}
}

// closeCaller closes the session's connection while it is used; what it waits for ends with an error.
func (v *callerSession) closeCaller() {
	if err := v.caller.Close(); err != nil {
		event.TransactionEnded(v.host.Logger, v.kind, "", 0, err.Error())
	}
}
