package fleet

import "time"

// The limits of one call of the platform: it follows the time that calls take.
const (
	minTimeout    = 500 * time.Millisecond
	maxTimeout    = 8 * time.Second
	timeoutFactor = 4
)

// poll is a repeated read of the platform.
type poll struct {
	running  bool
	repeat   bool
	next     time.Time
	sentAt   time.Time
	timeout  time.Duration // after which a call is given up
	failures int           // since the last success
}

// newPoll returns a read that is due at once.
func newPoll() poll {
	return poll{timeout: minTimeout}
}

// startIfDue reports whether the read is to be sent now, and marks it as under way when so.
func (p *poll) startIfDue(now time.Time) bool {
	if p.running || now.Before(p.next) {
		return false
	}
	p.running = true
	p.sentAt = now
	return true
}

// finish ends the read; another follows at once when it was asked for meanwhile.
func (p *poll) finish(now time.Time, pause time.Duration, err error) {
	p.running = false
	p.next = now.Add(pause)
	p.adaptTimeout(now.Sub(p.sentAt), err)
	if p.repeat {
		p.next = time.Time{}
	}
	p.repeat = false
}

// requestNow asks for a read that starts after this moment.
func (p *poll) requestNow() {
	p.next = time.Time{}
	p.repeat = p.running
}

// adaptTimeout adapts the limit to the time that a call took.
func (p *poll) adaptTimeout(took time.Duration, err error) {
	if err != nil {
		p.failures++
		p.timeout = min(maxTimeout, 2*p.timeout)
		return
	}
	p.failures = 0
	p.timeout = min(maxTimeout, max(minTimeout, timeoutFactor*took))
}
