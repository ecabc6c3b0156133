package upperbound

import (
	"errors"
	"fmt"
	"time"

	"redwingspread/internal/model"
)

// Sizes are the sizes of a deployment and its load.
type Sizes struct {
	Databases   int               // each with one primary
	Instances   int               // of each database
	Slots       model.Slots       // of each instance
	Connections model.Connections // of each instance
	Trip        time.Duration     // for which a connection is held beyond the work of an operation
	Kinds       []Kind
	Phases      []Phase // in the order of their start; between them, nothing arrives and all instances work
}

// Kind is a kind of work.
type Kind struct {
	Name     model.KindID
	Rate     model.Rate    // usual arrivals of all databases together
	Work     time.Duration // slot time of an operation
	Writes   float64       // share of the operations that need the primary
	Goal     time.Duration // an answer within it is in time
	Deadline time.Duration // a later answer is worth nothing
	Value    float64       // of an answer in time
	Late     float64       // value of a late answer, as a share of that of one in time
}

// Phase is a time with the same load and the same instances.
type Phase struct {
	Name     string
	Start    time.Duration
	Length   time.Duration
	Factor   map[model.KindID]float64 // of the usual rate; 1 for a kind that isn't listed
	Lost     int                      // instances that don't work
	Slow     int                      // instances whose work takes longer
	Slowness float64                  // how many times longer
}

// end returns the end of the phase.
func (p Phase) end() time.Duration { return p.Start + p.Length }

// Errors of sizes.
var (
	errNoCapacity = errors.New("databases, instances, slots and connections must be positive")
	errKind       = errors.New("rate, work and value must be positive, shares between 0 and 1, and the deadline no earlier than the goal")
	errPhase      = errors.New("the length must be positive, factors not negative, and lost and slow instances no more than there are")
	errOrder      = errors.New("it begins before the end of the phase before it")
	errUnknown    = errors.New("it has a factor of an unknown kind")
)

// Check returns an error that names the first size that makes no sense.
func (s Sizes) Check() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("upperbound: %w", err)
		}
	}()
	if s.Databases <= 0 || s.Instances <= 0 || s.Slots <= 0 || s.Connections <= 0 || s.Trip < 0 {
		return errNoCapacity
	}
	known := make(map[model.KindID]bool)
	for _, k := range s.Kinds {
		if !(k.Rate > 0 && k.Work > 0 && k.Value > 0 && isShare(k.Writes) && isShare(k.Late)) || k.Goal <= 0 || k.Deadline < k.Goal || known[k.Name] {
			return fmt.Errorf("kind %q: %w", k.Name, errKind)
		}
		known[k.Name] = true
	}
	end := time.Duration(0)
	for _, p := range s.Phases {
		if p.Length <= 0 || p.Lost < 0 || p.Slow < 0 || p.Lost+p.Slow > s.Databases*s.Instances || (p.Slow > 0 && !(p.Slowness >= 1)) {
			return fmt.Errorf("phase %q: %w", p.Name, errPhase)
		}
		if p.Start < end {
			return fmt.Errorf("phase %q: %w", p.Name, errOrder)
		}
		end = p.end()
		for kind, factor := range p.Factor {
			if !known[kind] {
				return fmt.Errorf("phase %q, kind %q: %w", p.Name, kind, errUnknown)
			}
			if !(factor >= 0) {
				return fmt.Errorf("phase %q, kind %q: %w", p.Name, kind, errPhase)
			}
		}
	}
	return nil
}

// isShare reports whether a number is a share; NaN is none.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// rate returns the arrivals of a kind in a phase.
func (p Phase) rate(k Kind) float64 {
	factor, found := p.Factor[k.Name]
	if !found {
		factor = 1
	}
	return float64(k.Rate) * factor
}

// Resource is what operations occupy.
type Resource string

// The resources.
const (
	Slots        Resource = "slots"
	PrimarySlots Resource = "primaries' slots"
	Connections  Resource = "connections"
)

// resources are all resources. The order decides which one is named as the bottleneck where several are used to the same extent.
var resources = []Resource{Slots, PrimarySlots, Connections}

// capacity returns how much of a resource there is while the instances are as in the phase. At best, the lost and slow instances are
// replicas, as far as there are enough of them.
func (s Sizes) capacity(r Resource, p Phase) float64 {
	all := s.Databases * s.Instances
	switch r {
	case Connections:
		return float64(all-p.Lost) * float64(s.Connections)
	case PrimarySlots:
		replicas := all - s.Databases
		lost := max(p.Lost-replicas, 0)
		slow := min(max(p.Slow-max(replicas-p.Lost, 0), 0), s.Databases-lost)
		return instances(s.Databases-lost, slow, p.Slowness) * float64(s.Slots)
	default:
		return instances(all-p.Lost, p.Slow, p.Slowness) * float64(s.Slots)
	}
}

// instances returns the number of instances, where slow ones count as a part of one.
func instances(working, slow int, slowness float64) float64 {
	if slow == 0 {
		return float64(working)
	}
	return float64(working-slow) + float64(slow)/slowness
}

// use returns how long an operation of the kind occupies a resource.
func (s Sizes) use(r Resource, k Kind) time.Duration {
	if r == Connections {
		return k.Work + s.Trip
	}
	return k.Work
}

// capacityUntil returns how much of a resource there is from the start of a phase to a time after its end, in seconds of one slot or
// connection.
func (s Sizes) capacityUntil(r Resource, phase int, after time.Duration) float64 {
	at, to := s.Phases[phase].Start, s.Phases[phase].end()+after
	sum := 0.0
	for _, p := range s.Phases[phase:] {
		if p.Start >= to {
			break
		}
		sum += (p.Start - at).Seconds() * s.capacity(r, Phase{}) // between two phases, all instances work
		end := min(p.end(), to)
		sum += (end - p.Start).Seconds() * s.capacity(r, p)
		at = end
	}
	return sum + max(to-at, 0).Seconds()*s.capacity(r, Phase{})
}
