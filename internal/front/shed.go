package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"

	"redwingspread/internal/budget"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
	"redwingspread/internal/scheduler"
	"redwingspread/internal/session"
	"redwingspread/internal/settings"
)

// Parts of the setting memory. With the reserves, half as much as the budget, they make 70 %, at which the garbage collector begins to
// run more often.
const (
	budgetPercent  = 20 // callers' messages, answers and the state of sessions
	sessionPercent = 40 // what every session takes
)

const (
	sessionMemory    = 20 << 10 // bytes that a session takes: its stack, its buffers and its reserve of state
	stateReserve     = 2 << 10  // bytes of values and prepared statements that every session may hold whatever the memory left
	receiveBuffer    = 32 << 10 // bytes of the kernel's receive buffer of a caller's connection; the kernel doubles it
	sendBuffer       = 64 << 10 // bytes of the kernel's send buffer of a caller's connection; the kernel doubles it
	noRoomRetryAfter = 500 * time.Millisecond
	stalledLimit     = 10 * time.Second      // a message that has been arriving for longer gives way where memory is short
	fullInterval     = 10 * time.Millisecond // between two searches for a session that may give way, where none was found
)

// relayedDivisor divides the session limit to give the number of sessions that other hosts may pass on.
const relayedDivisor = 2

// Descriptors that are kept for other things than sessions.
const (
	otherShare    = 2   // at most the descriptors divided by this
	otherMost     = 512 // files, the store, other hosts, instances and the HTTP listeners
	pendingShare  = 4   // connections that have not proved to be a host's may have the kept descriptors divided by this
	listenerShare = 8   // an HTTP listener may have the kept descriptors divided by this
)

// NewBudget returns the budget for callers' messages, answers and session state that follows from the settings.
func NewBudget(s settings.Front, logger log.Interface) *budget.Budget {
	b := budget.New()
	b.Limit = s.Memory.Bytes() * budgetPercent / 100
	b.Refused = func(use budget.Use) { event.MemoryRefused(logger, use.String(), b.Used(), b.Limit) }
	return b
}

// keptDescriptors returns the number of descriptors that are kept for other things than sessions.
func (h *Host) keptDescriptors() int {
	if h.Settings.Descriptors == 0 {
		return otherMost
	}
	return min(otherMost, h.Settings.Descriptors/otherShare)
}

// sessionLimit returns how many sessions may be open.
func (h *Host) sessionLimit() int {
	limit := h.Settings.SessionLimit
	if h.Settings.Memory > 0 {
		limit = min(limit, int(h.Settings.Memory.Bytes()*sessionPercent/100/sessionMemory))
	}
	if h.Settings.Descriptors > 0 {
		limit = min(limit, h.Settings.Descriptors-h.keptDescriptors())
	}
	return limit
}

// listenerLimit returns how many connections an HTTP listener may have.
func (h *Host) listenerLimit() int { return max(h.keptDescriptors()/listenerShare, 1) }

// listenSessions opens the listener of sessions, whose connections have bounded buffers in the kernel: what callers send ahead waits at
// their end, and what they don't read counts in the budget.
func listenSessions(ctx context.Context, address model.Address) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer),
			)
		})
		return errors.Join(err, optErr)
	}}
	return config.Listen(ctx, "tcp4", string(address))
}

// newPooledConn returns a new connection, whose state counts in the budget.
func newPooledConn(conn InstanceConn, tenant model.TenantID, memory *budget.Budget) *pooledConn {
	c := &pooledConn{InstanceConn: conn, tenant: tenant, connectionState: session.NewConnectionState()}
	c.room.Init(memory, budget.Pool, 0)
	c.connectionState.SetRoom(&c.room)
	return c
}

// Close closes the connection and gives the memory of its state back.
func (c *pooledConn) Close() error {
	c.room.Close()
	return c.InstanceConn.Close()
}

// sessionAdmission admits new connections; only the goroutine that accepts them uses it.
type sessionAdmission struct {
	host      *Host
	limit     int       // sessions
	fullUntil time.Time // no session may give way until then
}

// admit reports whether a new connection gets a session, given how many of callers are open with it. At the limit another one gives way, if one may.
func (a *sessionAdmission) admit(open int) bool {
	if open+a.host.relayed.Taken() <= a.limit {
		return true
	}
	now := time.Now()
	if now.Before(a.fullUntil) {
		return false
	}
	if a.host.makeRoom(0) {
		return true
	}
	a.fullUntil = now.Add(fullInterval)
	return false
}

// admitRelayed reports whether another host may pass one more session on, which counts towards the session limit.
func (h *Host) admitRelayed(from model.HostID) bool {
	if int(h.counters.Sessions.Value())+h.relayed.Taken() < h.sessionLimit() && h.relayed.Acquire(from) {
		return true
	}
	h.counters.RelayedRefused.Add(1)
	event.RelayedSessionRefused(h.Logger, from, h.relayed.Taken())
	return false
}

// makeRoom closes the connection of the session that has been in the middle of a message, or without START, longest, and for at least
// the given time. It reports whether there was one.
func (h *Host) makeRoom(atLeast time.Duration) bool {
	var oldest *callerSession
	oldestSince := time.Now().Add(-atLeast)
	h.mutex.RLock()
	open := len(h.openSessions)
	for s := range h.openSessions {
		since, stalled := s.caller.StalledSince()
		if stalled && !s.evicted.Load() && !since.After(oldestSince) {
			oldest, oldestSince = s, since
		}
	}
	h.mutex.RUnlock()
	if oldest == nil {
		return false
	}
	oldest.evicted.Store(true)
	h.counters.Evicted.Add(1)
	event.SessionEvicted(h.Logger, oldest.id, open, model.Millis(time.Since(oldestSince)))
	oldest.closeCaller()
	return true
}

// shedStalled closes a session that has been in the middle of a message for long, if messages have been refused memory since the last
// call; its message may hold what others need.
func (h *Host) shedStalled() {
	if h.Memory == nil {
		return
	}
	refused := h.Memory.Refusals(budget.Messages)
	if h.refusedSeen.Swap(refused) != refused {
		h.makeRoom(stalledLimit)
	}
}

// noteOverLimit counts and logs a session that is refused because the host has as many as it may.
func (h *Host) noteOverLimit() {
	h.counters.OverLimit.Add(1)
	h.mutex.RLock()
	open := len(h.openSessions)
	h.mutex.RUnlock()
	event.SessionsFull(h.Logger, open)
}

// writeMemory writes the metrics of the memory for callers.
func (h *Host) writeMemory(out io.Writer) error {
	memory := h.Memory
	if memory == nil {
		memory = budget.New()
	}
	if _, err := fmt.Fprintf(out, "memory_limit_bytes %d\nmemory_used_bytes %d\nmemory_peak_bytes %d\n", memory.Limit, memory.Used(), memory.Peak()); err != nil {
		return err
	}
	for _, use := range budget.Uses {
		if _, err := fmt.Fprintf(out, "memory_refused{use=%q} %d\n", use, memory.Refusals(use)); err != nil {
			return err
		}
	}
	return nil
}

// refuseNoRoom returns the refusal of a statement for whose answer there is no memory.
func refuseNoRoom() *model.Refusal {
	return withRetryAfter(model.Refuse(model.CodeOverloaded, "%v", ErrNoRoom), noRoomRetryAfter)
}

// endIfNoRoom returns an error that ends the session if there was no memory for an answer: a caller that goes on regardless would make
// the instances send answers that are thrown away.
func endIfNoRoom(err, sendErr error) error {
	if errors.Is(err, ErrNoRoom) {
		return errors.Join(sendErr, err)
	}
	return sendErr
}

// sendLarge returns the connection and the slot of a large response before it is sent, since the caller may read it slowly.
func (e *execution) sendLarge(t target, permit *scheduler.Permit[*pooledConn], trip *roundTrip) error {
	t.backend.scheduler.FinishStatement(permit, trip.drain(), true)
	return e.session.caller.SendResponse(&trip.response, e.session.state.Transaction)
}
