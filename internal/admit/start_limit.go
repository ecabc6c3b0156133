package admit

import "time"

// StartLimit decides until when a statement may wait at a host to be sent to an instance.
//
// Time that a statement spends waiting here is lost for its own work and for another attempt, here or by its caller through another
// host. The limit is therefore a part of the goal or of the deadline, less what is kept for these.
type StartLimit struct {
	// GoalShare is the share of the goal that a statement may wait.
	GoalShare float64
	// Least is the lower bound of the time that GoalShare gives.
	Least time.Duration
	// DeadlineShare is the share of the deadline that a statement may wait, if that is longer; above zero where late answers are of use.
	DeadlineShare float64
	// WorkReserve is the number of service times that are kept for the statement's own work.
	WorkReserve float64
	// AttemptReserve is the number of service times that are kept for a further attempt elsewhere, if one is possible.
	AttemptReserve float64
	// ExpectedShare is the share of the expected wait by which the limit is extended.
	ExpectedShare float64
	// RejectBeyond is the number of limits without extension that the expected wait may take; a statement that would wait longer is
	// rejected at once. Zero rejects none.
	RejectBeyond float64
}

// The defaults of a start limit. With them nothing is kept, and the limit depends on the goal alone.
const (
	DefaultGoalShare     = 0.25                  // leaves callers time for both of their attempts through other hosts
	DefaultLeast         = 60 * time.Millisecond // for goals under 0.24 s
	DefaultExpectedShare = 1.0
)

// NewStartLimit returns a start limit with the defaults.
func NewStartLimit() StartLimit {
	return StartLimit{GoalShare: DefaultGoalShare, Least: DefaultLeast, ExpectedShare: DefaultExpectedShare}
}

// Start describes a statement for which a start limit is asked. All times count from its arrival.
type Start struct {
	Waited    time.Duration // so far
	Goal      time.Duration
	Deadline  time.Duration
	Service   time.Duration // learned service time; zero if unknown
	Expected  time.Duration // wait that is still expected here
	Limit     time.Duration // set by the host that passes the statement on; zero for none
	Least     time.Duration // lower bound, for a statement that has waited for something else before; zero for none
	Elsewhere bool          // a further attempt elsewhere is possible
	Sent      bool          // an attempt was sent and failed; the rest of the time until the deadline is for another one
}

// Until returns until when the statement may wait at this host, counted from its arrival. It returns the time waited so far, or less,
// for a statement that is rejected at once because of its expected wait.
func (l *StartLimit) Until(s Start) time.Duration {
	within := l.within(s)
	if l.RejectBeyond > 0 && s.Waited+s.Expected > share(within, l.RejectBeyond) {
		return min(s.Waited, within)
	}
	return within + share(s.Expected, l.ExpectedShare)
}

// within returns the limit without extension.
func (l *StartLimit) within(s Start) time.Duration {
	reserve := l.reserve(s)
	last := s.Deadline - reserve
	if s.Sent {
		return last
	}
	within := max(min(share(s.Goal, l.GoalShare), s.Goal-reserve), l.Least, s.Least, share(s.Deadline, l.DeadlineShare))
	if s.Limit != 0 {
		within = min(within, s.Limit)
	}
	return min(within, last)
}

// reserve returns the time kept for the statement's work and a further attempt. It is at most half of the time until the deadline:
// a service time learned during an incident must not keep statements from an instance that works again.
func (l *StartLimit) reserve(s Start) time.Duration {
	times := l.WorkReserve
	if s.Elsewhere {
		times += l.AttemptReserve
	}
	return max(min(share(s.Service, times), s.Deadline/2), 0)
}

// share returns a share of a duration.
func share(whole time.Duration, part float64) time.Duration {
	return time.Duration(float64(whole) * part)
}
