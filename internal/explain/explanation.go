package explain

import (
	"fmt"
	"slices"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// The time window around a request in which state changes are related to it.
const (
	windowBefore = 5 * time.Second // a change of primary and the loss of a dependency are logged within this time
	windowAfter  = time.Second
)

// Query identifies the request to explain.
type Query struct {
	Request model.RequestID
	Kind    model.KindID // kind of the caller's session; empty when unknown
}

// Explanation is what the logs contain about one request.
type Explanation struct {
	Query
	Lines   []Line // lines of the request, oldest first
	Related []Line // state changes of its host, instance or database near the request, oldest first
	Cause   string // likely cause, in one sentence
}

// Explain returns what the logs of all hosts contain about the request, and the likely cause of its result.
//
// A caller whose session was refused at its start never sent a request id; in that case the refused sessions of its kind of work are
// used instead.
func Explain(query Query, logs []Line) Explanation {
	explanation := Explanation{Query: query}
	for _, line := range logs {
		if query.Request != "" && line.Request == query.Request {
			explanation.Lines = append(explanation.Lines, line)
		}
	}
	if len(explanation.Lines) == 0 {
		explanation.Lines = sessionRefusals(query.Kind, logs)
	}
	sortByTime(explanation.Lines)
	if len(explanation.Lines) > 0 {
		explanation.Related = relatedLines(explanation.Lines, logs)
	}
	explanation.Cause = cause(explanation, logs)
	return explanation
}

// sessionRefusals returns the lines about refused sessions of a kind of work.
func sessionRefusals(kind model.KindID, logs []Line) (lines []Line) {
	for _, line := range logs {
		if kind != "" && line.Kind == kind && line.Event == event.NumberSessionRefused {
			lines = append(lines, line)
		}
	}
	return lines
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// relatedLines returns the state changes near the request's lines that affect its hosts, its instances or their databases.
func relatedLines(requestLines, logs []Line) (related []Line) {
	from, to := requestLines[0].Time.Add(-windowBefore), requestLines[len(requestLines)-1].Time.Add(windowAfter)
	hosts := make(map[string]bool)
	instances := make(map[model.InstanceID]bool)
	for _, line := range requestLines {
		hosts[line.Source] = true
		instances[line.Instance] = line.Instance != ""
	}
	databases := databasesOf(instances, logs)
	for _, line := range logs {
		if line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		if scope := affected[line.Event]; (scope == affectsHost && hosts[line.Source]) || (scope == affectsDatabase && (databases[line.Database] || instances[line.Instance])) {
			related = append(related, line)
		}
	}
	sortByTime(related)
	return related
}

// databasesOf returns the databases of the instances, according to the log lines.
func databasesOf(instances map[model.InstanceID]bool, logs []Line) map[model.DatabaseID]bool {
	databases := make(map[model.DatabaseID]bool)
	for _, line := range logs {
		if line.Database != "" && instances[line.Instance] {
			databases[line.Database] = true
		}
	}
	return databases
}

// scope is the set of requests that an event can explain.
type scope uint8

const (
	affectsNone     scope = iota
	affectsHost           // requests on the host that logged the event
	affectsDatabase       // requests for its database or instance on any host
)

// affected maps the events that report a state change to the requests that they affect.
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
func cause(explanation Explanation, logs []Line) string {
	if len(explanation.Lines) == 0 {
		return withoutLines(logs)
	}
	last := explanation.Lines[len(explanation.Lines)-1]
	switch last.Event {
	case event.NumberRequestServed:
		return fmt.Sprintf("it was served by %s", last.Instance)
	case event.NumberRequestUnsure:
		return unknownOutcome(explanation, last)
	case event.NumberRequestRetried:
		return "its last line is a retry: either it was served, or the host ended before it logged the result"
	}
	switch last.Code {
	case model.CodeUnknownDatabase:
		return oldConfiguration(last, logs, "has no kind of work with this name")
	case model.CodeUnauthorized:
		return oldConfiguration(last, logs, "has no tenant with this API key")
	case model.CodeUnavailable, model.CodeNotPrimary:
		if last.Event == event.NumberSessionRefused {
			return fmt.Sprintf("%s refused the session: %s", last.Source, last.Reason)
		}
		return noInstance(explanation, last)
	case model.CodeDeadline, model.CodeOverloaded, model.CodeSlotsFull:
		return overloaded(explanation, last)
	case model.CodeAllowance:
		return overAllowance(last, logs)
	case model.CodeTransactionEnded:
		return fmt.Sprintf("its transaction ended at %s before a commit was sent: %s", last.Instance, last.Reason)
	case model.CodeStopping:
		return fmt.Sprintf("%s was stopping", last.Source)
	}
	return fmt.Sprintf("%s refused it as %s: %s", last.Instance, last.Code, last.Reason)
}

// withoutLines returns the possible causes when no line of a request exists: it was served, which is logged only at level
// debug, no host received it, its host ended without a stop, or lines were dropped.
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
	return fmt.Sprintf("no log has a line of it: it was served, no host got it, its host ended without a stop (%d ends of %d hosts), or its line was dropped (%d reports of dropped lines)",
		max(starts-stops-len(hosts), 0), len(hosts), dropped)
}

// noInstance returns the cause when no instance was suitable.
func noInstance(explanation Explanation, last Line) string {
	if change, found := newestWith(explanation.Related, event.NumberPrimaryJudged, event.NumberPromotionOrdered); found {
		return fmt.Sprintf("the primary of %s was being replaced (%s by %s: %s)", change.Database, change.Message, change.Source, change.Reason)
	}
	if believed, found := newestWith(explanation.Related, event.NumberPrimaryBelieved); found && believed.State != failover.Leading {
		return fmt.Sprintf("%s knew no working primary of %s (%s)", believed.Source, believed.Database, believed.State)
	}
	return fmt.Sprintf("no instance was suitable: %s", last.Reason)
}

// unknownOutcome returns the cause of an unknown outcome.
func unknownOutcome(explanation Explanation, last Line) string {
	if change, found := newestWith(explanation.Related, event.NumberPrimaryJudged, event.NumberPromotionOrdered); found {
		return fmt.Sprintf("its outcome is unknown: the connection to %s ended while the primary of %s was being replaced", last.Instance, change.Database)
	}
	return fmt.Sprintf("its outcome is unknown: the connection to %s ended before the response: %s", last.Instance, last.Reason)
}

// overloaded returns the cause of an overload.
func overloaded(explanation Explanation, last Line) string {
	for _, line := range explanation.Lines {
		if line.Reason == string(model.CodeBehind) {
			return fmt.Sprintf("replicas lagged, so it had to use %s, which had no capacity in time: %s", last.Instance, last.Reason)
		}
	}
	return fmt.Sprintf("%s had no capacity in time at %s: %s", last.Instance, last.Source, last.Reason)
}

// oldConfiguration returns the cause of a refusal that follows from the configuration: an outdated one on the host, or what the newest one
// lacks.
func oldConfiguration(last Line, logs []Line, lack string) string {
	known, newest := versions(last, logs)
	if newest.Version > known.Version {
		return fmt.Sprintf("%s had version %d of the configuration while %s had version %d", last.Source, known.Version, newest.Source, newest.Version)
	}
	return fmt.Sprintf("version %d of the configuration %s, and no host had a newer one", known.Version, lack)
}

// overAllowance returns the cause of a refusal by a tenant's allowance; the reason names the tenant, its limit and the version with it.
func overAllowance(last Line, logs []Line) string {
	cause := fmt.Sprintf("%s refused it: %s", last.Source, last.Reason)
	if known, newest := versions(last, logs); newest.Version > known.Version {
		return fmt.Sprintf("%s, while %s had version %d, whose limit may be another", cause, newest.Source, newest.Version)
	}
	return cause
}

// versions returns the newest configuration that the host of a line, and any host, had in force at that time.
func versions(last Line, logs []Line) (known, newest Line) {
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
	return known, newest
}

// newestWith returns the last of the lines that has one of the events.
func newestWith(lines []Line, events ...event.Number) (Line, bool) {
	for _, line := range slices.Backward(lines) {
		if slices.Contains(events, line.Event) {
			return line, true
		}
	}
	return Line{}, false
}
