package placement

import (
	"time"

	"redwingspread/internal/model"
)

const (
	spillInterval  = 250 * time.Millisecond // between two changes of the share
	spillRise      = model.Percent(10)      // of one change
	spillFall      = model.Percent(5)       // of one change
	spillTurnPause = 2 * time.Second        // between a rise and a fall, so that the effect of the first shows
	spillIdle      = 5 * time.Second        // without reads, after which nothing is known of the home
	spillStart     = model.Percent(16)      // pressure above which the share rises; well below the quarter of the goal that a statement may wait
	spillEnd       = model.Percent(8)       // pressure below which the share falls
	maxPressure    = model.Percent(1000)    // so that one read doesn't outweigh an interval
	allReads       = model.Percent(100)
)

// Change is a turn of the share of reads that may leave.
type Change uint8

// The changes.
const (
	ChangeNone   Change = iota
	ChangeBegins        // the share was zero
	ChangeRises         // after it fell
	ChangeFalls         // after it rose
	ChangeEnds          // the share is zero again
)

// String returns the change's name in logs.
func (c Change) String() string {
	return [...]string{"none", "begins", "rises", "falls", "ends"}[c]
}

// Spill limits how many of a database's reads leave a data centre. The zero value admits none.
//
// The share of reads that may leave follows the pressure at home: the expected time to a response, in percent of the goal. It rises
// while the pressure is above one threshold and reads were held back, and falls while it is below a lower one or no read would
// gain elsewhere. It is not safe for concurrent use.
type Spill struct {
	share     model.Percent
	rising    bool // direction of the latest change
	changedAt model.Instant
	admitted  [model.RankCount]model.Percent // part of a rank's reads with a gain that may leave
	carried   [model.RankCount]model.Percent // parts of a read not admitted yet, by rank
	interval  spillCounts
}

// spillCounts are the reads of one interval.
type spillCounts struct {
	began    model.Instant
	reads    int64
	held     int64
	gaining  [model.RankCount]int64 // reads that would gain elsewhere, by rank
	pressure model.Percent          // sum over the reads
}

// Share returns the share of reads that may leave.
func (s *Spill) Share() model.Percent { return s.share }

// Admit counts a read that could be served at home, and reports whether it leaves, and how the share has turned. Urgent ranks leave
// first.
func (s *Spill) Admit(now model.Instant, rank model.Rank, pressure model.Percent, gains bool) (leaves bool, change Change) {
	change = s.advance(now)
	s.interval.reads++
	s.interval.pressure += min(pressure, maxPressure)
	if !gains {
		return false, change
	}
	i := rank.Index()
	s.interval.gaining[i]++
	s.carried[i] += s.admitted[i]
	if s.carried[i] >= allReads {
		s.carried[i] -= allReads
		return true, change
	}
	s.interval.held++
	return false, change
}

// advance changes the share once an interval has ended.
func (s *Spill) advance(now model.Instant) Change {
	ended := s.interval
	elapsed := now.Sub(ended.began)
	if elapsed < spillInterval {
		return ChangeNone
	}
	s.interval = spillCounts{began: now}
	if elapsed > spillIdle {
		return s.set(now, 0)
	}
	change := s.set(now, s.next(now, &ended))
	s.divide(&ended)
	return change
}

// next returns the share that follows from the reads of an interval.
func (s *Spill) next(now model.Instant, ended *spillCounts) model.Percent {
	pressure := ended.pressure / model.Percent(max(ended.reads, 1))
	turns := now.Sub(s.changedAt) >= spillTurnPause
	gained := ended.gaining != [model.RankCount]int64{}
	switch {
	case pressure > spillStart && ended.held > 0 && (s.rising || turns):
		return min(s.share+spillRise, allReads)
	case (pressure < spillEnd || !gained) && (!s.rising || turns):
		return max(s.share-spillFall, 0)
	}
	return s.share
}

// set changes the share and returns how it has turned.
func (s *Spill) set(now model.Instant, share model.Percent) (change Change) {
	if share == s.share {
		return ChangeNone
	}
	rises := share > s.share
	switch {
	case share == 0:
		change = ChangeEnds
	case s.share == 0:
		change = ChangeBegins
	case rises && !s.rising:
		change = ChangeRises
	case !rises && s.rising:
		change = ChangeFalls
	}
	s.share, s.rising, s.changedAt = share, rises, now
	return change
}

// divide gives the reads that may leave to the ranks, most urgent first, by the numbers of the interval.
func (s *Spill) divide(ended *spillCounts) {
	budget := ended.reads * int64(s.share) // in hundredths of a read
	for i, gaining := range ended.gaining {
		if gaining == 0 {
			s.admitted[i] = s.share
			continue
		}
		s.admitted[i] = model.Percent(min(budget/gaining, int64(allReads)))
		budget -= gaining * int64(s.admitted[i])
	}
}

// pressure returns the expected time to a response in percent of the goal.
func pressure(answer, goal time.Duration) model.Percent {
	return model.Percent(min(100*answer/goal, time.Duration(maxPressure)))
}
