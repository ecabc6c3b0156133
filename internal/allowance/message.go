package allowance

import (
	"time"

	"redwingspread/internal/model"
)

// Host is a host of the fleet and its place.
type Host struct {
	ID         model.HostID
	DataCentre model.DataCentreID
	Region     model.RegionID
}

// Question is a request of one host for tokens that another one keeps.
type Question struct {
	From        model.HostID
	Incarnation model.Incarnation
	Sequence    model.Sequence
	Parts       []Ask
}

// Ask is the part of a question for one tenant and rank.
type Ask struct {
	Tenant  model.TenantID
	Rank    model.Rank
	Count   int // tokens asked of this owner
	Waiting int // operations of the rank that wait at the asking host
}

// Answer is the response to the question with the same sequence.
type Answer struct {
	From     model.HostID
	Sequence model.Sequence
	Parts    []Grant
}

// Grant is the part of an answer for one tenant and rank.
type Grant struct {
	Tenant  model.TenantID
	Rank    model.Rank
	Granted int           // tokens
	Next    time.Duration // until a further operation gets a token; zero if the owner can't tell
}

// Outgoing is a question and the host to send it to.
type Outgoing struct {
	To       model.HostID
	Question Question
}

const (
	questionSize = 1100    // bytes of a question, so that its datagram is not fragmented
	headerSize   = 120     // bytes of a question without its parts and the host's name
	askSize      = 64      // bytes of an Ask without the tenant's name
	maxAsks      = 64      // Asks of one question that are answered
	maxCount     = 1 << 20 // tokens of one Ask, and operations that wait for them
	maxNext      = time.Hour
)

// bounded returns the Ask with its numbers in their ranges.
func (a Ask) bounded() Ask {
	a.Count = min(max(a.Count, 0), maxCount)
	a.Waiting = min(max(a.Waiting, 0), maxCount)
	if !a.Rank.Valid() {
		a.Rank = model.RankThree
	}
	return a
}

// questionSizeOf returns the size of a question's encoded form, rounded up.
func questionSizeOf(from model.HostID, asks []Ask) int {
	size := headerSize + len(from)
	for _, ask := range asks {
		size += askSize + len(ask.Tenant)
	}
	return size
}
