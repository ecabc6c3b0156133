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

// Question names the request that is looked for.
type Question struct {
	Request model.RequestID
	Kind    model.KindID // of the caller's session; empty when it is not known
}

// Way is what the logs tell of one request.
type Way struct {
	Question
	Lines  []Line // of the request, oldest first
	Around []Line // changes of belief that touch its host, instance or database, oldest first
	Cause  string // one sentence
}

// Follow returns the request's way through the logs of all hosts.
//
// A caller whose session was refused at its start never sent a request id; then the refusals of its kind of work tell more.
func Follow(question Question, logs []Line) Way {
	way := Way{Question: question}
	for _, line := range logs {
		if question.Request != "" && line.Request == question.Request {
			way.Lines = append(way.Lines, line)
		}
	}
	if len(way.Lines) == 0 {
		way.Lines = rejections(question.Kind, logs)
	}
	order(way.Lines)
	if len(way.Lines) > 0 {
		way.Around = around(way.Lines, logs)
	}
	way.Cause = cause(way, logs)
	return way
}

// rejections returns the refusals of sessions of a kind of work.
func rejections(kind model.KindID, logs []Line) (lines []Line) {
	for _, line := range logs {
		if kind != "" && line.Kind == kind && line.Event == event.NumberSessionRefused {
			lines = append(lines, line)
		}
	}
	return lines
}

// order sorts lines by time.
func order(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// around returns the changes of belief near the request's lines, of its host and of its instances' databases.
func around(own, logs []Line) (near []Line) {
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
		if of := scopes[line.Event]; (of == ofHost && hosts[line.Source]) || (of == ofDatabase && (databases[line.Database] || instances[line.Instance])) {
			near = append(near, line)
		}
	}
	order(near)
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
	ofNone     scope = iota
	ofHost           // requests of the host that logged it
	ofDatabase       // requests of its database or instance, whichever host logged it
)

// scopes maps the events that change a belief to what they touch.
var scopes = map[event.Number]scope{
	event.NumberStarted:            ofHost,
	event.NumberStopping:           ofHost,
	event.NumberDirectoryInForce:   ofHost,
	event.NumberDependencyLost:     ofHost,
	event.NumberDependencyRegained: ofHost,
	event.NumberLinesDropped:       ofHost,
	event.NumberReadyChanged:       ofHost,
	event.NumberInstanceChanged:    ofDatabase,
	event.NumberPrimaryBelieved:    ofDatabase,
	event.NumberPrimaryJudged:      ofDatabase,
	event.NumberPromotionOrdered:   ofDatabase,
	event.NumberPromotionFailed:    ofDatabase,
}

// cause returns the likely cause in one sentence.
func cause(way Way, logs []Line) string {
	if len(way.Lines) == 0 {
		return silent(logs)
	}
	last := way.Lines[len(way.Lines)-1]
	switch last.Event {
	case event.NumberRequestServed:
		return fmt.Sprintf("it was served by %s", last.Instance)
	case event.NumberRequestUnsure:
		return unsure(way, last)
	case event.NumberRequestRetried:
		return "its last line is a further try: it was served, or the host ended before it could say more"
	}
	switch last.Code {
	case model.CodeUnknownDatabase:
		return unconfigured(last, logs)
	case model.CodeUnavailable, model.CodeNotPrimary:
		if last.Event == event.NumberSessionRefused {
			return fmt.Sprintf("%s refused the session: %s", last.Source, last.Reason)
		}
		return unserved(way, last)
	case model.CodeDeadline, model.CodeOverloaded, model.CodeSlotsFull:
		return overload(way, last)
	case model.CodeTransactionEnded:
		return fmt.Sprintf("its transaction ended at %s before a commit was sent: %s", last.Instance, last.Reason)
	case model.CodeStopping:
		return fmt.Sprintf("%s was stopping", last.Source)
	}
	return fmt.Sprintf("%s refused it as %s: %s", last.Instance, last.Code, last.Reason)
}

// silent tells why there may be no line of a request: the host that had it ended without a stop, lines were left out, or it
// was served.
func silent(logs []Line) string {
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

// unserved tells why no instance would do.
func unserved(way Way, last Line) string {
	if change, found := find(way.Around, event.NumberPrimaryJudged, event.NumberPromotionOrdered); found {
		return fmt.Sprintf("the primary of %s was being replaced (%s by %s: %s)", change.Database, change.Message, change.Source, change.Reason)
	}
	if belief, found := find(way.Around, event.NumberPrimaryBelieved); found && belief.State != failover.Leading {
		return fmt.Sprintf("%s did not know a primary of %s that leads (%s)", belief.Source, belief.Database, belief.State)
	}
	return fmt.Sprintf("no instance would do: %s", last.Reason)
}

// unsure tells why an outcome is unknown.
func unsure(way Way, last Line) string {
	if change, found := find(way.Around, event.NumberPrimaryJudged, event.NumberPromotionOrdered); found {
		return fmt.Sprintf("its outcome is unknown: the connection to %s ended while the primary of %s was replaced", last.Instance, change.Database)
	}
	return fmt.Sprintf("its outcome is unknown: the connection to %s ended before the answer: %s", last.Instance, last.Reason)
}

// overload tells what was short.
func overload(way Way, last Line) string {
	for _, line := range way.Lines {
		if line.Reason == string(model.CodeBehind) {
			return fmt.Sprintf("replicas lagged, so that it fell on %s, which had no room in time: %s", last.Instance, last.Reason)
		}
	}
	return fmt.Sprintf("%s had no room in time at %s: %s", last.Instance, last.Source, last.Reason)
}

// unconfigured tells whether the host lacked a configuration that another one had.
func unconfigured(last Line, logs []Line) string {
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

// find returns the newest of the lines with one of the events.
func find(lines []Line, events ...event.Number) (Line, bool) {
	for _, line := range slices.Backward(lines) {
		if slices.Contains(events, line.Event) {
			return line, true
		}
	}
	return Line{}, false
}
