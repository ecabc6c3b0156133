package fleet

import "time"

// The limits of one call of the platform: it follows the time that calls take.
const (
	limitLeast  = 500 * time.Millisecond
	limitMost   = 8 * time.Second
	limitFactor = 4
)

// poll is a repeated read of the platform.
type poll struct {
	busy  bool
	again bool
	next  time.Time
	sent  time.Time
	limit time.Duration // after which a call is given up
	fails int           // since the last success
}

// newPoll returns a read that is due at once.
func newPoll() poll {
	return poll{limit: limitLeast}
}

// due reports whether the read is to be sent now, and marks it as under way when so.
func (p *poll) due(now time.Time) bool {
	if p.busy || now.Before(p.next) {
		return false
	}
	p.busy = true
	p.sent = now
	return true
}

// end ends the read; another follows at once when it was asked for meanwhile.
func (p *poll) end(now time.Time, pause time.Duration, err error) {
	p.busy = false
	p.next = now.Add(pause)
	p.learn(now.Sub(p.sent), err)
	if p.again {
		p.next = time.Time{}
	}
	p.again = false
}

// soon asks for a read that starts after this moment.
func (p *poll) soon() {
	p.next = time.Time{}
	p.again = p.busy
}

// learn adapts the limit to the time that a call took.
func (p *poll) learn(took time.Duration, err error) {
	if err != nil {
		p.fails++
		p.limit = min(limitMost, 2*p.limit)
		return
	}
	p.fails = 0
	p.limit = min(limitMost, max(limitLeast, limitFactor*took))
}
