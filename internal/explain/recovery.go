package explain

import (
	"slices"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// Phase is a phase of the recovery from the loss of a primary.
type Phase string

// The phases in their order.
const (
	PhaseNoticed   Phase = "noticed"   // the first host finds the primary silent
	PhaseAgreed    Phase = "agreed"    // a host judges it lost, with the votes of the others
	PhaseOrdered   Phase = "ordered"   // that host orders the promotion
	PhaseConfirmed Phase = "confirmed" // the next primary has proved to the first host that it leads
	PhaseKnown     Phase = "known"     // the host knows the next primary as leading
	PhaseServed    Phase = "served"    // the host has its first write served there
)

// Step is the end of a phase.
type Step struct {
	Phase Phase
	Host  string        // that logged it
	At    time.Duration // since the loss
	Took  time.Duration // since the end of the phase before
}

// HostRecovery is the end of the recovery at one host; a step without a line in the logs is missing.
type HostRecovery struct {
	Host  string
	Steps []Step // PhaseKnown and PhaseServed
}

// Recovery is the recovery from the loss of a primary.
type Recovery struct {
	Database model.DatabaseID
	Lost     model.InstanceID
	Next     model.InstanceID
	LostAt   time.Time // when the primary fell silent: the time after which it counts as silent before it was noticed
	Steps    []Step    // up to PhaseConfirmed, which all hosts share
	Hosts    []HostRecovery
}

// Recoveries returns the recoveries from the losses of primaries in the logs, oldest first. A promotion without a loss, as of a
// primary that leaves, is left out.
func Recoveries(logs []Line) (recoveries []Recovery) {
	logs = slices.Clone(logs)
	sortByTime(logs)
	noticed := make(map[model.DatabaseID]Line) // first line of a silent primary since the newest promotion
	judged := make(map[model.DatabaseID]Line)
	for i, line := range logs {
		switch {
		case line.Event == event.NumberPrimaryBelieved && line.State == failover.Silent:
			if known, found := noticed[line.Database]; !found || known.Instance != line.Instance {
				noticed[line.Database] = line
			}
		case line.Event == event.NumberPrimaryJudged:
			judged[line.Database] = line
		case line.Event == event.NumberPromotionOrdered:
			first, lost := noticed[line.Database]
			verdict, decided := judged[line.Database]
			if lost && decided && verdict.Instance == first.Instance && first.Instance != line.Instance {
				recoveries = append(recoveries, recovery(first, verdict, line, logs[i+1:]))
			}
			delete(noticed, line.Database)
			delete(judged, line.Database)
		}
	}
	return recoveries
}

// recovery returns the recovery that the lines begin, given the later lines.
func recovery(noticed, judged, ordered Line, later []Line) Recovery {
	r := Recovery{Database: ordered.Database, Lost: noticed.Instance, Next: ordered.Instance}
	r.LostAt = noticed.Time.Add(-failover.DefaultTiming().SilenceTimeout)
	r.Steps = r.append(r.Steps, r.LostAt, PhaseNoticed, noticed)
	r.Steps = r.append(r.Steps, noticed.Time, PhaseAgreed, judged)
	r.Steps = r.append(r.Steps, judged.Time, PhaseOrdered, ordered)
	known, served := make(map[string]Line), make(map[string]Line)
	var confirmed Line
	for _, line := range later {
		if line.Event == event.NumberPromotionOrdered && line.Database == r.Database && line.Instance != r.Next {
			break
		}
		if line.Database != r.Database || line.Instance != r.Next {
			continue
		}
		switch {
		case line.Event == event.NumberPrimaryBelieved && line.State == failover.Leading:
			if confirmed.Event == 0 {
				confirmed = line
			}
			keepFirst(known, line)
		case line.Event == event.NumberFirstWriteServed:
			keepFirst(served, line)
		}
	}
	if confirmed.Event == 0 {
		return r
	}
	r.Steps = r.append(r.Steps, ordered.Time, PhaseConfirmed, confirmed)
	for host, line := range known {
		h := HostRecovery{Host: host, Steps: r.append(nil, confirmed.Time, PhaseKnown, line)}
		if write, found := served[host]; found {
			h.Steps = r.append(h.Steps, line.Time, PhaseServed, write)
		}
		r.Hosts = append(r.Hosts, h)
	}
	slices.SortFunc(r.Hosts, func(a, b HostRecovery) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return r
}

// keepFirst keeps the first line of each host.
func keepFirst(lines map[string]Line, line Line) {
	if _, found := lines[line.Source]; !found {
		lines[line.Source] = line
	}
}

// append appends the step that a line ends, which began at the given time. A write may be served before its host logs that it knows
// the primary; the step then took no time.
func (r *Recovery) append(steps []Step, began time.Time, phase Phase, line Line) []Step {
	return append(steps, Step{Phase: phase, Host: line.Source, At: line.Time.Sub(r.LostAt), Took: max(line.Time.Sub(began), 0)})
}

// FirstWrite returns the time from the loss to the first write that a host had served at the next primary.
func (r *Recovery) FirstWrite() (after time.Duration, host string, found bool) {
	for _, h := range r.Hosts {
		for _, step := range h.Steps {
			if step.Phase == PhaseServed && (!found || step.At < after) {
				after, host, found = step.At, h.Host, true
			}
		}
	}
	return after, host, found
}
