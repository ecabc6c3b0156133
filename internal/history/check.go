package history

import (
	"fmt"
	"slices"

	"redwingspread/internal/model"
)

// Guarantee is the name of a consistency guarantee.
type Guarantee string

// The guarantees that Check verifies.
const (
	ReadYourWrites Guarantee = "read your writes" // a session's read contains the writes acknowledged to it before
	MonotonicReads Guarantee = "monotonic reads"  // a session's read starts with the list that its earlier reads returned
	AtMostOnce     Guarantee = "at most once"     // a request id is applied at most once
	NoEffect       Guarantee = "no effect"        // a write whose attempts were all refused or failed is never visible
	Durable        Guarantee = "durable"          // a write acknowledged with replica durability is in the final list
	StableAbsence  Guarantee = "stable absence"   // a write of unknown outcome that its session has once read as absent stays absent
	KnownWriter    Guarantee = "known writer"     // every entry was written by a request of the history
)

// Violation is one breach of a guarantee.
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

// FinalState holds the content of every list on the primary after the last attempt.
type FinalState map[ListKey][]model.RequestID

// Check returns the violations in a history, given the final content of the lists.
func Check(attempts []Attempt, final FinalState) []Violation {
	c := checker{attempts: attempts, final: final, requests: writesByRequest(attempts)}
	c.checkLists()
	c.checkRequests()
	for _, session := range bySession(attempts) {
		c.checkSession(session)
	}
	return c.violations
}

// checker holds the input and the violations of one check.
type checker struct {
	attempts   []Attempt
	final      FinalState
	requests   map[model.RequestID][]Attempt
	violations []Violation
}

// report adds one violation.
func (c *checker) report(guarantee Guarantee, attempt Attempt, request model.RequestID, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{
		Guarantee: guarantee,
		Session:   attempt.Session,
		Request:   request,
		Detail:    fmt.Sprintf(format, arguments...),
	})
}

// writesByRequest groups the attempts to write by request id.
func writesByRequest(attempts []Attempt) map[model.RequestID][]Attempt {
	groups := map[model.RequestID][]Attempt{}
	for _, attempt := range attempts {
		if attempt.Access == model.Write {
			groups[attempt.Request] = append(groups[attempt.Request], attempt)
		}
	}
	return groups
}

// session is the attempts of one session on one list, ordered by their starts.
type session []Attempt

// bySession groups the attempts by session and list.
func bySession(attempts []Attempt) map[sessionKey]session {
	groups := map[sessionKey]session{}
	for _, attempt := range attempts {
		key := sessionKey{session: attempt.Session, list: attempt.List}
		groups[key] = append(groups[key], attempt)
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b Attempt) int { return int(a.Start) - int(b.Start) })
	}
	return groups
}

// sessionKey identifies the attempts of one session on one list.
type sessionKey struct {
	session model.SessionID
	list    ListKey
}

// checkLists checks every list that was read, and the final lists, for entries that are duplicate, of unknown origin or of a
// write without effect.
func (c *checker) checkLists() {
	for _, attempt := range c.attempts {
		if attempt.Access == model.Read && attempt.Outcome == Done {
			c.checkList(attempt, attempt.Entries)
		}
	}
	for key, entries := range c.final {
		c.checkList(Attempt{Session: "final", List: key}, entries)
	}
}

// checkList checks one list; violations are reported for the attempt that read it.
func (c *checker) checkList(read Attempt, entries []model.RequestID) {
	seen := map[model.RequestID]bool{}
	for _, request := range entries {
		if seen[request] {
			c.report(AtMostOnce, read, request, "the entry is duplicated in %v", entries)
		}
		seen[request] = true
		if len(c.requests[request]) == 0 {
			c.report(KnownWriter, read, request, "no request wrote the entry in %v", entries)
			continue
		}
		if noEffect(c.requests[request]) {
			c.report(NoEffect, read, request, "every attempt was refused or failed, but the entry is in %v", entries)
		}
	}
}

// noEffect reports whether every attempt of a request was refused before it ran, or failed.
func noEffect(attempts []Attempt) bool {
	for _, attempt := range attempts {
		if attempt.Outcome == Done || attempt.Outcome == Unknown {
			return false
		}
	}
	return true
}

// checkRequests checks that every write acknowledged with replica durability is in its final list.
// A write that only the primary holds may be lost with the primary; the session gets an error then.
func (c *checker) checkRequests() {
	for request, attempts := range c.requests {
		for _, attempt := range attempts {
			if attempt.Outcome != Done || attempt.Durability != model.DurabilityReplica {
				continue
			}
			if !slices.Contains(c.final[attempt.List], request) {
				c.report(Durable, attempt, request, "the write was acknowledged but is not in %v", c.final[attempt.List])
			}
			break
		}
	}
}

// checkSession checks each read of one session on one list against the attempts that ended before the read started.
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

// checkOwnWrite checks that a read contains an earlier acknowledged write of its session.
func (c *checker) checkOwnWrite(write, read Attempt) {
	if write.Outcome == Done && !slices.Contains(read.Entries, write.Request) {
		c.report(ReadYourWrites, read, write.Request, "the write was acknowledged but is not in %v", read.Entries)
	}
}

// checkMonotonic checks that a later read starts with the list of an earlier one, and that no unresolved write appears after
// it was read as absent.
func (c *checker) checkMonotonic(earlier, later Attempt) {
	if !hasPrefix(later.Entries, earlier.Entries) {
		c.report(MonotonicReads, later, later.Request, "%v was read earlier, then %v", earlier.Entries, later.Entries)
	}
	for _, request := range later.Entries {
		if !slices.Contains(earlier.Entries, request) && c.unresolvedBefore(later.Session, request, earlier) {
			c.report(StableAbsence, later, request, "the write was absent from %v, then present in %v", earlier.Entries, later.Entries)
		}
	}
}

// unresolvedBefore reports whether every attempt of the session's write had ended before the read started, none of them
// acknowledged.
func (c *checker) unresolvedBefore(session model.SessionID, request model.RequestID, read Attempt) bool {
	for _, attempt := range c.requests[request] {
		if attempt.Session != session || attempt.Outcome == Done || attempt.End >= read.Start {
			return false
		}
	}
	return len(c.requests[request]) > 0
}

// hasPrefix reports whether the list starts with the prefix.
func hasPrefix(list, prefix []model.RequestID) bool {
	return len(list) >= len(prefix) && slices.Equal(list[:len(prefix)], prefix)
}
