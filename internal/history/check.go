package history

import (
	"fmt"
	"slices"

	"redwingspread/internal/model"
)

// Guarantee is one promise of the system.
type Guarantee string

// The promises that Check holds a history against.
const (
	ReadYourWrites Guarantee = "read your writes" // a session's read holds its acknowledged writes
	MonotonicReads Guarantee = "monotonic reads"  // a session's read holds what its earlier reads held
	AtMostOnce     Guarantee = "one effect"       // a request id has at most one effect
	NoEffect       Guarantee = "no effect"        // what was refused or failed has no effect
	Durable        Guarantee = "kept"             // every write acknowledged as held by a replica is present at the end
	StableAbsence  Guarantee = "for good"         // a write of unknown outcome, once seen absent by its session, stays absent
	KnownWriter    Guarantee = "known"            // every entry was written by a request of the history
)

// Violation is one broken promise.
type Violation struct {
	Guarantee Guarantee
	Session   model.SessionID
	Request   model.RequestID
	Detail    string
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: session %s, request %s: %s", v.Guarantee, v.Session, v.Request, v.Detail)
}

// FinalState is the content of every list on the primary after the last attempt.
type FinalState map[Key][]model.RequestID

// Check returns every promise that the history breaks, given the lists at its end.
func Check(attempts []Attempt, final FinalState) []Violation {
	c := checker{attempts: attempts, final: final, requests: writesByRequest(attempts)}
	c.checkLists()
	c.checkRequests()
	for _, session := range bySession(attempts) {
		c.checkSession(session)
	}
	return c.violations
}

// checker holds the state of one check.
type checker struct {
	attempts   []Attempt
	final      FinalState
	requests   map[model.RequestID][]Attempt
	violations []Violation
}

// report adds one violation.
func (c *checker) report(rule Guarantee, attempt Attempt, request model.RequestID, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{
		Guarantee: rule,
		Session:   attempt.Session,
		Request:   request,
		Detail:    fmt.Sprintf(format, arguments...),
	})
}

// writesByRequest groups the writes by their request id.
func writesByRequest(attempts []Attempt) map[model.RequestID][]Attempt {
	groups := map[model.RequestID][]Attempt{}
	for _, attempt := range attempts {
		if attempt.Access == model.Write {
			groups[attempt.Request] = append(groups[attempt.Request], attempt)
		}
	}
	return groups
}

// session is the attempts of one session on one list, in the order of their starts.
type session []Attempt

// bySession groups the attempts by session and list.
func bySession(attempts []Attempt) map[sessionKey]session {
	groups := map[sessionKey]session{}
	for _, attempt := range attempts {
		key := sessionKey{session: attempt.Session, key: attempt.Key}
		groups[key] = append(groups[key], attempt)
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b Attempt) int { return int(a.Start) - int(b.Start) })
	}
	return groups
}

// sessionKey names the attempts of one session on one list.
type sessionKey struct {
	session model.SessionID
	key     Key
}

// checkLists checks each list that was read, and the final ones, for doubled and unknown entries.
func (c *checker) checkLists() {
	for _, attempt := range c.attempts {
		if attempt.Access == model.Read && attempt.Outcome == Done {
			c.checkList(attempt, attempt.Entries)
		}
	}
	for key, entries := range c.final {
		c.checkList(Attempt{Session: "final", Key: key}, entries)
	}
}

// checkList checks one list.
func (c *checker) checkList(reader Attempt, entries []model.RequestID) {
	seen := map[model.RequestID]bool{}
	for _, request := range entries {
		if seen[request] {
			c.report(AtMostOnce, reader, request, "the entry stands twice in %v", entries)
		}
		seen[request] = true
		if len(c.requests[request]) == 0 {
			c.report(KnownWriter, reader, request, "no request wrote the entry in %v", entries)
			continue
		}
		if noEffect(c.requests[request]) {
			c.report(NoEffect, reader, request, "every attempt was refused or failed, and the entry is in %v", entries)
		}
	}
}

// noEffect reports whether every attempt of a request was refused as not run or failed.
func noEffect(attempts []Attempt) bool {
	for _, attempt := range attempts {
		if attempt.Outcome == Done || attempt.Outcome == Unknown {
			return false
		}
	}
	return true
}

// checkRequests checks that every write acknowledged as held by a replica is in its final list; the primary's alone may be lost with it, and its sessions are told.
func (c *checker) checkRequests() {
	for request, attempts := range c.requests {
		for _, attempt := range attempts {
			if attempt.Outcome != Done || attempt.Durability != model.DurabilityReplica {
				continue
			}
			if !slices.Contains(c.final[attempt.Key], request) {
				c.report(Durable, attempt, request, "the write was acknowledged and is not in %v", c.final[attempt.Key])
			}
			break
		}
	}
}

// checkSession checks each read of one session on one list against what ended before it began.
func (c *checker) checkSession(attempts session) {
	for i, read := range attempts {
		if read.Access != model.Read || read.Outcome != Done {
			continue
		}
		for _, earlier := range attempts[:i] {
			if earlier.End >= read.Start {
				continue
			}
			if earlier.Access == model.Write {
				c.checkOwnWrite(earlier, read)
			} else if earlier.Outcome == Done {
				c.checkMonotonic(earlier, read)
			}
		}
	}
}

// checkOwnWrite checks that a read holds the session's acknowledged write.
func (c *checker) checkOwnWrite(write, read Attempt) {
	if write.Outcome == Done && !slices.Contains(read.Entries, write.Request) {
		c.report(ReadYourWrites, read, write.Request, "the write was acknowledged and is not in %v", read.Entries)
	}
}

// checkMonotonic checks that a later read begins with the list of an earlier one, and settles unknown writes for good.
func (c *checker) checkMonotonic(earlier, later Attempt) {
	if !hasPrefix(later.Entries, earlier.Entries) {
		c.report(MonotonicReads, later, later.Request, "%v was read before %v", earlier.Entries, later.Entries)
	}
	for _, request := range later.Entries {
		if !slices.Contains(earlier.Entries, request) && c.unresolvedBefore(later.Session, request, earlier) {
			c.report(StableAbsence, later, request, "the write was absent from %v and then in %v", earlier.Entries, later.Entries)
		}
	}
}

// unresolvedBefore reports whether every attempt of a write of the session had ended before the read, without an answer.
func (c *checker) unresolvedBefore(session model.SessionID, request model.RequestID, read Attempt) bool {
	for _, attempt := range c.requests[request] {
		if attempt.Session != session || attempt.Outcome == Done || attempt.End >= read.Start {
			return false
		}
	}
	return len(c.requests[request]) > 0
}

// hasPrefix reports whether the list begins with the prefix.
func hasPrefix(list, prefix []model.RequestID) bool {
	return len(list) >= len(prefix) && slices.Equal(list[:len(prefix)], prefix)
}
