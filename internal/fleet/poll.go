package fleet

import "time"

// Bounds of the timeout of a call to the platform, and its ratio to the duration of the last call.
const (
	minTimeout    = 500 * time.Millisecond
	maxTimeout    = 8 * time.Second
	timeoutFactor = 4
)

// poll schedules a periodic read of the platform.
type poll struct {
	running  bool          // a read has been sent and has not ended
	repeat   bool          // another read was requested during the running one
	next     time.Time     // time at which the next read is due
	sentAt   time.Time     // time at which the last read was sent
	timeout  time.Duration // timeout of one call
	failures int           // number of consecutive failures
}

// newPoll returns a poll that is due at once.
func newPoll() poll {
	return poll{timeout: minTimeout}
}

// startIfDue reports whether the read is due, and marks it as running if so.
func (p *poll) startIfDue(now time.Time) bool {
	if p.running || now.Before(p.next) {
		return false
	}
	p.running = true
	p.sentAt = now
	return true
}

// finish records the end of the read. The next read is due at once if one was requested meanwhile.
func (p *poll) finish(now time.Time, pause time.Duration, err error) {
	p.running = false
	p.next = now.Add(pause)
	p.adaptTimeout(now.Sub(p.sentAt), err)
	if p.repeat {
		p.next = time.Time{}
	}
	p.repeat = false
}

// requestNow requests a read that starts after this call.
func (p *poll) requestNow() {
	p.next = time.Time{}
	p.repeat = p.running
}

// adaptTimeout sets the timeout from the duration of a call, and doubles it after a failure.
func (p *poll) adaptTimeout(took time.Duration, err error) {
	if err != nil {
		p.failures++
		p.timeout = min(maxTimeout, 2*p.timeout)
		return
	}
	p.failures = 0
	p.timeout = min(maxTimeout, max(minTimeout, timeoutFactor*took))
}
