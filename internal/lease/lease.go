package lease

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"redwingspread/internal/model"
)

const (
	// lostRounds is the number of heartbeats in a row that may be lost without the loss of a lease.
	lostRounds = 3
	// storeDelay is the time within which hosts that reach the store see a new row: they poll it every four seconds, and read
	// it whole once a second after its history was dropped.
	storeDelay = 6 * time.Second
	// noticeIntervals is the number of heartbeat intervals for which assignments are repeated after hosts have differed about them.
	noticeIntervals = 8
)

// Assignment names the only instance that hosts may use as the primary of a database.
type Assignment struct {
	Database model.DatabaseID
	Instance model.InstanceID
	Token    model.Token // rises with each assignment of the database
}

// Digest identifies a set of assignments; it is zero for none.
type Digest uint32

// Message is the part of a heartbeat that concerns leases.
type Message struct {
	Sent        model.Instant                    // on the sender's clock, in whole milliseconds
	Heard       model.Instant                    // newest Sent that the sender has received from the receiver; zero for none
	Digest      Digest                           // of the assignments that the sender knows
	Assignments []Assignment                     // nil when the receivers are expected to know them
	Released    map[model.DatabaseID]model.Token // assignments for which the sender no longer uses another primary
	Silent      []model.HostID                   // hosts that the sender has not heard for longer than a lease lasts
}

// State is what one host knows of leases and assignments; it isn't safe for concurrent use.
type State struct {
	// Self is this host.
	Self model.HostID
	// Interval is the time between two heartbeats.
	Interval time.Duration
	// Fanout is the number of receivers of one heartbeat.
	Fanout int

	started     model.Instant
	joinedAt    model.Instant // when a host was added to the members last
	lastSent    model.Instant
	rowsRead    bool // the store's rows have been read since the start, so that no assignment is missing
	members     []model.HostID
	heard       map[model.HostID]model.Instant  // newest Sent received from each host
	heardAt     map[model.HostID]model.Instant  // when each host was heard last, on this host's clock
	silentTo    map[model.HostID][]model.HostID // hosts that each host has not heard, by its newest message that says so
	confirmed   map[model.HostID]model.Instant  // newest own Sent that each host has confirmed
	storeRead   model.Instant                   // when the newest complete read of the assignments was sent
	assignments map[model.DatabaseID]Assignment
	digest      Digest
	repeatUntil model.Instant // until when assignments are part of the messages
	released    map[model.DatabaseID]model.Token
	releasedBy  map[model.DatabaseID]map[model.HostID]model.Token
	changes     map[model.DatabaseID]*change
}

// change is a change of a primary by this host that waits until the old primary is released.
type change struct {
	token     model.Token
	lone      map[model.HostID]bool // hosts that may hold a lease from the store
	startedAt model.Instant
	blockedAt model.Instant // when so many hosts had released the old primary that the others form no majority
	blocked   bool
}

// New returns the state of a host; its exported fields have to be set before use.
func New() *State {
	return &State{
		heard:       make(map[model.HostID]model.Instant),
		heardAt:     make(map[model.HostID]model.Instant),
		silentTo:    make(map[model.HostID][]model.HostID),
		confirmed:   make(map[model.HostID]model.Instant),
		assignments: make(map[model.DatabaseID]Assignment),
		released:    make(map[model.DatabaseID]model.Token),
		releasedBy:  make(map[model.DatabaseID]map[model.HostID]model.Token),
		changes:     make(map[model.DatabaseID]*change),
	}
}

// Start sets the time of the host's start; messages that it sent earlier confirm nothing.
func (s *State) Start(now model.Instant) { s.started = now }

// SetMembers sets the other hosts, dead ones included until their rows are deleted.
func (s *State) SetMembers(now model.Instant, members []model.HostID) {
	slices.Sort(members)
	for _, id := range members {
		if _, found := slices.BinarySearch(s.members, id); !found {
			s.joinedAt = now
		}
	}
	s.members = members
}

// Duration is how long a confirmation keeps the lease, counted from the sending of the confirmed message.
//
// It covers the time in which the message reaches each host in turn, the same for the answer, and some losses.
func (s *State) Duration() time.Duration {
	rounds := (len(s.members) + s.Fanout - 1) / s.Fanout
	return time.Duration(2*max(rounds, 1)+lostRounds) * s.Interval
}

// majority returns the number of other hosts that form a majority together with this one.
func (s *State) majority() int { return (len(s.members) + 1) / 2 }

// blocking returns the number of other hosts that, together with this one, leave no majority to the rest.
func (s *State) blocking() int { return len(s.members) - s.majority() }

// Until returns the end of this host's lease.
func (s *State) Until() model.Instant {
	if !s.rowsRead {
		return 0
	}
	needed := s.majority()
	if needed == 0 {
		return Forever
	}
	end := model.Instant(0)
	if s.storeRead != 0 {
		end = s.storeRead.Add(s.Duration())
	}
	times := make([]model.Instant, 0, len(s.members))
	for _, id := range s.members {
		if at, found := s.confirmed[id]; found {
			times = append(times, at)
		}
	}
	if len(times) < needed {
		return end
	}
	slices.Sort(times)
	return max(end, times[len(times)-needed].Add(s.Duration()))
}

// ExpectedBy returns the time by which a host that hears the others, or reaches the store, has a lease: after its start, and
// after a host has joined whose confirmation may be needed.
func (s *State) ExpectedBy() model.Instant { return max(s.started, s.joinedAt).Add(s.Duration()) }

// Heard returns the confirmation for a receiver of a heartbeat, or zero.
func (s *State) Heard(receiver model.HostID) model.Instant {
	if !s.rowsRead {
		return 0
	}
	return s.heard[receiver]
}

// Compose returns the lease part of a heartbeat that is sent now or later, without the confirmations for its receivers.
func (s *State) Compose(now model.Instant) Message {
	s.lastSent = now - now%model.Instant(time.Millisecond)
	message := Message{Sent: s.lastSent, Digest: s.digest}
	if now < s.repeatUntil {
		message.Assignments = slices.SortedFunc(maps.Values(s.assignments), func(a, b Assignment) int {
			if a.Database < b.Database {
				return -1
			}
			return 1
		})
		message.Released = maps.Clone(s.released)
		message.Silent = s.silent(now)
	}
	return message
}

// silent returns the members that this host has not heard for longer than a lease lasts, so that none of its confirmations
// keeps a lease of theirs.
func (s *State) silent(now model.Instant) (silent []model.HostID) {
	for _, id := range s.members {
		if now.Sub(max(s.heardAt[id], s.started)) >= s.Duration()+s.Interval {
			silent = append(silent, id)
		}
	}
	return silent
}

// lapsed reports whether the lease of a host that has not released a primary must have ended: it holds none from the store, and
// so many hosts have not heard it that the rest can't confirm one.
func (s *State) lapsed(now model.Instant, database model.DatabaseID, c *change, id model.HostID) bool {
	if c.lone[id] || !slices.Contains(s.silent(now), id) {
		return false
	}
	others := 0
	for _, witness := range s.members {
		if s.releasedBy[database][witness] >= c.token && slices.Contains(s.silentTo[witness], id) {
			others++
		}
	}
	return others >= s.blocking()
}

// Receive processes the lease part of another host's heartbeat and returns the assignments that were unknown.
func (s *State) Receive(now model.Instant, from model.HostID, message Message) (learnt []Assignment) {
	s.heard[from] = max(s.heard[from], message.Sent)
	s.heardAt[from] = now
	if message.Released != nil {
		s.silentTo[from] = message.Silent
	}
	for _, assignment := range message.Assignments {
		if s.Assign(now, assignment) {
			learnt = append(learnt, assignment)
		}
	}
	for database, token := range message.Released {
		if s.releasedBy[database] == nil {
			s.releasedBy[database] = make(map[model.HostID]model.Token)
		}
		s.releasedBy[database][from] = max(s.releasedBy[database][from], token)
	}
	if message.Digest != s.digest {
		s.repeatUntil = max(s.repeatUntil, now.Add(noticeIntervals*s.Interval))
		return learnt // one of the two hosts may still use a primary that the other knows to be replaced
	}
	if at := message.Heard; at != 0 && at <= s.lastSent && at >= s.started {
		s.confirmed[from] = max(s.confirmed[from], at)
	}
	return learnt
}

// Restarted forgets what a host released in an earlier incarnation.
func (s *State) Restarted(id model.HostID) {
	delete(s.heard, id)
	delete(s.silentTo, id)
	for _, tokens := range s.releasedBy {
		delete(tokens, id)
	}
}

// Assign records an assignment and reports whether it is newer than the known one.
func (s *State) Assign(now model.Instant, assignment Assignment) bool {
	if assignment.Token <= s.assignments[assignment.Database].Token {
		return false
	}
	s.assignments[assignment.Database] = assignment
	s.digest = digestOf(s.assignments)
	s.repeatUntil = max(s.repeatUntil, now.Add(noticeIntervals*s.Interval))
	return true
}

// RowsRead records that all assignments in the store as of the given time or later have been passed to Assign.
func (s *State) RowsRead(sent model.Instant) {
	s.rowsRead = true
	s.storeRead = max(s.storeRead, sent)
}

// Release records that this host uses no primary of the database other than the one assigned under the token.
func (s *State) Release(now model.Instant, database model.DatabaseID, token model.Token) bool {
	if s.released[database] >= token {
		return false
	}
	s.released[database] = token
	s.repeatUntil = max(s.repeatUntil, now.Add(noticeIntervals*s.Interval))
	return true
}

// Assigned returns the assignment of a database; its token is zero when there is none.
func (s *State) Assigned(database model.DatabaseID) Assignment { return s.assignments[database] }

// Begin starts the wait for the release of a database's old primary. Lone holds the hosts that, by their rows as read after the
// assignment was written, may hold a lease from the store.
func (s *State) Begin(now model.Instant, database model.DatabaseID, token model.Token, lone map[model.HostID]bool) {
	s.changes[database] = &change{token: token, lone: lone, startedAt: now}
}

// End ends the wait.
func (s *State) End(database model.DatabaseID) { delete(s.changes, database) }

// Waiting reports whether this host waits for the release of an old primary.
func (s *State) Waiting() bool { return len(s.changes) > 0 }

// Cleared returns the token whose promotion may be ordered, or zero while a host may still use the old primary.
func (s *State) Cleared(now model.Instant, database model.DatabaseID) model.Token {
	c := s.changes[database]
	if c == nil {
		return 0
	}
	s.repeatUntil = max(s.repeatUntil, now.Add(noticeIntervals*s.Interval))
	if s.released[database] < c.token {
		return 0
	}
	others, lapsed := 0, 0
	for _, id := range s.members {
		switch {
		case s.releasedBy[database][id] >= c.token:
			others++
		case s.lapsed(now, database, c, id):
			lapsed++
		}
	}
	switch {
	case others+lapsed == len(s.members):
		return c.token
	case others >= s.blocking():
		if !c.blocked {
			c.blocked, c.blockedAt = true, now
		}
		if now.Sub(c.blockedAt) >= s.Duration()+s.Interval {
			return c.token
		}
	case now.Sub(c.startedAt) >= s.Duration()+storeDelay:
		return c.token
	}
	return 0
}

// digestOf returns the digest of a set of assignments.
func digestOf(assignments map[model.DatabaseID]Assignment) Digest {
	hash := fnv.New32a()
	for _, database := range slices.Sorted(maps.Keys(assignments)) {
		_, _ = hash.Write(append([]byte(database), 0)) // a hash never fails
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(assignments[database].Token)))
	}
	return Digest(hash.Sum32())
}
