package scout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingspread/internal/model"
)

const (
	// ProbeInterval is the time between two probes of an idle primary by a scout.
	ProbeInterval = 300 * time.Millisecond
	// askInterval is the time between two questions to a scout.
	askInterval = 300 * time.Millisecond
	// answerTimeout is the silence of a scout after which another one is asked, and after which a host that is not asked any
	// more stops probing.
	answerTimeout = 1200 * time.Millisecond
	// exclusionTime is how long a scout that did not answer is passed over.
	exclusionTime = 10 * time.Second
	// hostsPerScout is the number of hosts of a data centre for each of its scouts.
	hostsPerScout = 20
	// maxAsks is the number of questions kept of each host; together with askInterval it covers the time between two proofs.
	maxAsks = 8
)

// Host is a host that may be a scout.
type Host struct {
	ID         model.HostID
	DataCentre model.DataCentreID
}

// Proof is a log position that a primary has proved.
type Proof struct {
	Database model.DatabaseID
	Instance model.InstanceID
	Point    model.Point
	// SentAt is when the statement that proves it was sent, or for another host's proof the time of this host's question; on the
	// clock of the host that receives the proof.
	SentAt model.Instant
}

// question is a question of another host.
type question struct {
	stamp     model.Instant // when it was sent, on the asking host's clock
	arrivedAt model.Instant
}

// State is what one host knows as a scout and of its scout; it isn't safe for concurrent use.
type State struct {
	// Self is this host.
	Self Host

	scout     model.HostID // host that is asked; empty while this host is the scout
	askingAt  model.Instant
	askedAt   model.Instant                  // newest question of this host
	answered  model.Instant                  // newest answer of the scout, or the start of its turn
	excluded  map[model.HostID]model.Instant // until when a scout is passed over
	questions map[model.HostID][]question    // oldest first
	proofs    map[model.DatabaseID]Proof
	lastAsked model.Instant // newest question of any host
}

// New returns the state of a host; its exported fields have to be set before use.
func New() *State {
	return &State{
		excluded:  make(map[model.HostID]model.Instant),
		questions: make(map[model.HostID][]question),
		proofs:    make(map[model.DatabaseID]Proof),
	}
}

// Choose chooses the scout among the live hosts, this one included, and returns the host to ask now, or an empty ID.
func (s *State) Choose(now model.Instant, live []Host) (ask model.HostID) {
	if s.scout != "" && s.askedAt > s.answered && now.Sub(s.answered) > answerTimeout {
		s.excluded[s.scout] = now.Add(exclusionTime)
	}
	maps.DeleteFunc(s.excluded, func(_ model.HostID, until model.Instant) bool { return now >= until })
	if chosen := s.preferred(live); chosen != s.scout {
		s.scout, s.answered, s.askingAt = chosen, now, 0
	}
	if s.scout == "" || now.Sub(s.askingAt) < askInterval {
		return ""
	}
	s.askingAt, s.askedAt = now, now
	return s.scout
}

// preferred returns the scout to ask, or an empty ID if this host is one.
func (s *State) preferred(live []Host) model.HostID {
	candidates := []model.HostID{s.Self.ID}
	for _, host := range live {
		if _, excluded := s.excluded[host.ID]; host.DataCentre == s.Self.DataCentre && host.ID != s.Self.ID && !excluded {
			candidates = append(candidates, host.ID)
		}
	}
	slices.SortFunc(candidates, compare)
	count := (len(candidates) + hostsPerScout - 1) / hostsPerScout
	if slices.Contains(candidates[:count], s.Self.ID) {
		return ""
	}
	return candidates[xxhash.Sum64String(string(s.Self.ID))%uint64(count)]
}

// compare orders hosts by the preference as a scout.
func compare(a, b model.HostID) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// Probes reports whether this host probes idle primaries: it is the scout, or others take it for one.
func (s *State) Probes(now model.Instant) bool {
	return s.scout == "" || (s.lastAsked != 0 && now.Sub(s.lastAsked) < answerTimeout)
}

// Asked records another host's question that was sent at the stamp on that host's clock.
func (s *State) Asked(arrivedAt model.Instant, from model.HostID, stamp model.Instant) {
	s.lastAsked = max(s.lastAsked, arrivedAt)
	list := append(s.questions[from], question{stamp, arrivedAt})
	if len(list) > maxAsks {
		list = list[1:]
	}
	s.questions[from] = list
}

// Record records a proof of this host.
func (s *State) Record(proof Proof) {
	if proof.SentAt > s.proofs[proof.Database].SentAt {
		s.proofs[proof.Database] = proof
	}
}

// Answer returns the proofs for another host, dated by its newest question that arrived before each.
func (s *State) Answer(to model.HostID) (proofs []Proof) {
	for _, database := range slices.Sorted(maps.Keys(s.proofs)) {
		proof := s.proofs[database]
		stamp := model.Instant(0)
		for _, q := range s.questions[to] {
			if q.arrivedAt <= proof.SentAt {
				stamp = max(stamp, q.stamp)
			}
		}
		if stamp != 0 {
			proof.SentAt = stamp
			proofs = append(proofs, proof)
		}
	}
	return proofs
}

// Answered records an answer and returns its proofs that are plausible: dated by questions of this host.
func (s *State) Answered(now model.Instant, from model.HostID, proofs []Proof) (valid []Proof) {
	if from == s.scout {
		s.answered = now
	}
	for _, proof := range proofs {
		if proof.SentAt <= s.askedAt {
			valid = append(valid, proof)
		}
	}
	return valid
}

// Forget forgets a host that is gone.
func (s *State) Forget(id model.HostID) { delete(s.questions, id) }
