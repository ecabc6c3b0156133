package placement

import "time"

// keptDifference is the divisor for the difference below which the preferred holder is kept, so that streams stay few and connections
// to instances in use.
const keptDifference = 5

// Holder is the state of a host that keeps connections to an instance, as another host knows it that passes requests on.
type Holder struct {
	Reachable bool          // was reached lately, or has not been tried lately
	Connected bool          // there is a stream to it
	InFlight  int           // calls of this host without a reply
	Response  time.Duration // smoothed time to a reply; zero when unknown
}

// ChooseHolder returns the index of the holder that takes a request, or None, and that of one to which a stream should be opened in the
// background, or None. The holders are in this host's order of preference.
//
// Of the first two that are connected it is the one with fewer calls in flight or, with as many, the one that responds noticeably
// sooner. Without one that is connected it is the first that can be reached.
func ChooseHolder(holders []Holder) (index, connect int) {
	first, waiting := None, None
	for i := range holders {
		switch h := &holders[i]; {
		case !h.Reachable:
		case !h.Connected:
			if waiting == None {
				waiting = i
			}
		case first == None:
			first = i
		case h.isBetterThan(&holders[first]):
			return i, before(waiting, first)
		default:
			return first, before(waiting, first)
		}
	}
	if first == None {
		return waiting, None
	}
	if holders[first].InFlight == 0 {
		waiting = before(waiting, first) // one holder suffices while it has no other call
	}
	return first, waiting
}

// before returns the index if it is before the other one, and None otherwise.
func before(index, other int) int {
	if index < other {
		return index
	}
	return None
}

// isBetterThan reports whether a holder is noticeably less busy, or as busy and noticeably quicker, than one that is preferred to it.
func (h *Holder) isBetterThan(preferred *Holder) bool {
	if h.InFlight != preferred.InFlight {
		return (preferred.InFlight-h.InFlight)*keptDifference >= preferred.InFlight && h.InFlight < preferred.InFlight
	}
	return h.Response > 0 && (preferred.Response-h.Response)*keptDifference >= preferred.Response && h.Response < preferred.Response
}
