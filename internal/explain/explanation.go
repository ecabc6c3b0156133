package explain

import (
	"fmt"
	"slices"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// The time around a request in which changes of belief may explain it.
const (
	windowBefore = 5 * time.Second // a change of primary and the loss of a dependency show within it
	windowAfter  = time.Second
)

// Query names the request that is looked for.
type Query struct {
	Request model.RequestID
	Kind    model.KindID // of the caller's session; empty when it is not known
}

// Explanation is what the logs tell of one request.
type Explanation struct {
	Query
	Lines   []Line // of the request, oldest first
	Related []Line // changes of belief that touch its host, instance or database, oldest first
	Cause   string // one sentence
}

// Explain returns the request's way through the logs of all hosts.
//
// A caller whose session was refused at its start never sent a request id; then the refusals of its kind of work tell more.
func Explain(question Query, logs []Line) Explanation {
	way := Explanation{Query: question}
	for _, line := range logs {
		if question.Request != "" && line.Request == question.Request {
			way.Lines = append(way.Lines, line)
		}
	}
	if len(way.Lines) == 0 {
		way.Lines = sessionRefusals(question.Kind, logs)
	}
	sortByTime(way.Lines)
	if len(way.Lines) > 0 {
		way.Related = relatedLines(way.Lines, logs)
	}
	way.Cause = cause(way, logs)
	return way
}

// sessionRefusals returns the refusals of sessions of a kind of work.
func sessionRefusals(kind model.KindID, logs []Line) (lines []Line) {
	for _, line := range logs {
		if kind != "" && line.Kind == kind && line.Event == event.NumberSessionRefused {
			lines = append(lines, line)
		}
	}
	return lines
}

// sortByTime sorts lines by time.
func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// relatedLines returns the changes of belief near the request's lines, of its host and of its instances' databases.
func relatedLines(own, logs []Line) (near []Line) {
	from, to := own[0].Time.Add(-windowBefore), own[len(own)-1].Time.Add(windowAfter)
	hosts := make(map[string]bool)
	instances := make(map[model.InstanceID]bool)
	for _, line := range own {
		hosts[line.Source] = true
		instances[line.Instance] = line.Instance != ""
	}
	databases := databasesOf(instances, logs)
	for _, line := range logs {
		if line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		if of := affected[line.Event]; (of == affectsHost && hosts[line.Source]) || (of == affectsDatabase && (databases[line.Database] || instances[line.Instance])) {
			near = append(near, line)
		}
	}
	sortByTime(near)
	return near
}

// databasesOf returns the databases of the instances, as the lines tell them.
func databasesOf(instances map[model.InstanceID]bool, logs []Line) map[model.DatabaseID]bool {
	databases := make(map[model.DatabaseID]bool)
	for _, line := range logs {
		if line.Database != "" && instances[line.Instance] {
			databases[line.Database] = true
		}
	}
	return databases
}

// scope tells whose requests an event may explain.
type scope uint8

const (
	affectsNone     scope = iota
	affectsHost           // requests of the host that logged it
	affectsDatabase       // requests of its database or instance, whichever host logged it
)

// affected maps the events that change a belief to what they touch.
var affected = map[event.Number]scope{
	event.NumberStarted:            affectsHost,
	event.NumberStopping:           affectsHost,
	event.NumberDirectoryInForce:   affectsHost,
	event.NumberDependencyLost:     affectsHost,
	event.NumberDependencyRegained: affectsHost,
	event.NumberLinesDropped:       affectsHost,
	event.NumberReadyChanged:       affectsHost,
	event.NumberInstanceChanged:    affectsDatabase,
	event.NumberPrimaryBelieved:    affectsDatabase,
	event.NumberPrimaryJudged:      affectsDatabase,
	event.NumberPromotionOrdered:   affectsDatabase,
	event.NumberPromotionFailed:    affectsDatabase,
}

// cause returns the likely cause in one sentence.
func cause(way Explanation, logs []Line) string {
	if len(way.Lines) == 0 {
		return withoutLines(logs)
	}
	last := way.Lines[len(way.Lines)-1]
	switch last.Event {
	case event.NumberRequestServed:
		return fmt.Sprintf("it was served by %s", last.Instance)
	case event.NumberRequestUnsure:
		return unknownOutcome(way, last)
	case event.NumberRequestRetried:
		return "its last line is a further try: it was served, or the host ended before it could say more"
	}
	switch last.Code {
	case model.CodeUnknownDatabase:
		return unknownKind(last, logs)
	case model.CodeUnavailable, model.CodeNotPrimary:
		if last.Event == event.NumberSessionRefused {
			return fmt.Sprintf("%s refused the session: %s", last.Source, last.Reason)
		}
		return noInstance(way, last)
	case model.CodeDeadline, model.CodeOverloaded, model.CodeSlotsFull:
		return overloaded(way, last)
	case model.CodeTransactionEnded:
		return fmt.Sprintf("its transaction ended at %s before a commit was sent: %s", last.Instance, last.Reason)
	case model.CodeStopping:
		return fmt.Sprintf("%s was stopping", last.Source)
	}
	return fmt.Sprintf("%s refused it as %s: %s", last.Instance, last.Code, last.Reason)
}

// withoutLines tells why there may be no line of a request: the host that had it ended without a stop, lines were left out, or it
// was served.
func withoutLines(logs []Line) string {
	starts, stops, dropped := 0, 0, 0
	for _, line := range logs {
		switch line.Event {
		case event.NumberStarted:
			starts++
		case event.NumberStopped:
			stops++
		case event.NumberLinesDropped:
			dropped++
		}
	}
	hosts := make(map[string]bool)
	for _, line := range logs {
		hosts[line.Source] = true
	}
	return fmt.Sprintf("no log has a line of it: it was served, no host got it, its host ended without a stop (%d ends of %d hosts), or its line was left out (%d reports of that)",
		max(starts-stops-len(hosts), 0), len(hosts), dropped)
}

// noInstance tells why no instance would do.
func noInstance(way Explanation, last Line) string {
	if change, found := newestWith(way.Related, event.NumberPrimaryJudged, event.NumberPromotionOrdered); found {
		return fmt.Sprintf("the primary of %s was being replaced (%s by %s: %s)", change.Database, change.Message, change.Source, change.Reason)
	}
	if belief, found := newestWith(way.Related, event.NumberPrimaryBelieved); found && belief.State != failover.Leading {
		return fmt.Sprintf("%s did not know a primary of %s that leads (%s)", belief.Source, belief.Database, belief.State)
	}
	return fmt.Sprintf("no instance would do: %s", last.Reason)
}

// unknownOutcome tells why an outcome is unknown.
func unknownOutcome(way Explanation, last Line) string {
	if change, found := newestWith(way.Related, event.NumberPrimaryJudged, event.NumberPromotionOrdered); found {
		return fmt.Sprintf("its outcome is unknown: the connection to %s ended while the primary of %s was replaced", last.Instance, change.Database)
	}
	return fmt.Sprintf("its outcome is unknown: the connection to %s ended before the answer: %s", last.Instance, last.Reason)
}

// overloaded tells what was short.
func overloaded(way Explanation, last Line) string {
	for _, line := range way.Lines {
		if line.Reason == string(model.CodeBehind) {
			return fmt.Sprintf("replicas lagged, so that it fell on %s, which had no room in time: %s", last.Instance, last.Reason)
		}
	}
	return fmt.Sprintf("%s had no room in time at %s: %s", last.Instance, last.Source, last.Reason)
}

// unknownKind tells whether the host lacked a configuration that another one had.
func unknownKind(last Line, logs []Line) string {
	known, newest := Line{}, Line{}
	for _, line := range logs {
		if line.Event != event.NumberDirectoryInForce || line.Time.After(last.Time) {
			continue
		}
		if line.Source == last.Source && line.Version >= known.Version {
			known = line
		}
		if line.Version > newest.Version {
			newest = line
		}
	}
	if newest.Version > known.Version {
		return fmt.Sprintf("%s had version %d of the configuration while %s had version %d", last.Source, known.Version, newest.Source, newest.Version)
	}
	return fmt.Sprintf("version %d of the configuration has no kind of work with this name, and no host had a newer one", known.Version)
}

// newestWith returns the newest of the lines with one of the events.
func newestWith(lines []Line, events ...event.Number) (Line, bool) {
	for _, line := range slices.Backward(lines) {
		if slices.Contains(events, line.Event) {
			return line, true
		}
	}
	return Line{}, false
}
