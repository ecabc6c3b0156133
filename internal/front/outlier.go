package front

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
	"redwingspread/internal/outlier"
	"redwingspread/internal/placement"
	"redwingspread/internal/relay"
	"redwingspread/internal/statement"
)

// outliers are the outcomes of one database's instances; nil without outlier detection. It is safe for concurrent use.
type outliers struct {
	mutex sync.Mutex
	group *outlier.Group[model.InstanceID]
}

// newOutliers returns the outcomes of a database without instances, or nil without outlier detection.
func (h *Host) newOutliers() *outliers {
	if h.Settings.OutlierDetection != settingOn {
		return nil
	}
	group := outlier.New[model.InstanceID]()
	group.Jitter = rand.Float64
	return &outliers{group: group}
}

// add adds an instance.
func (o *outliers) add(id model.InstanceID, born model.Incarnation) {
	if o == nil {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.group.Add(id, born)
}

// remove removes an instance.
func (o *outliers) remove(id model.InstanceID) {
	if o == nil {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.group.Remove(id)
}

// observe counts an outcome, and reports whether it has the instance ejected.
func (o *outliers) observe(id model.InstanceID, outcome outlier.Outcome) (report outlier.Report, ejected bool) {
	if o == nil {
		return report, false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.group.Observe(clock.Boot(), id, outcome)
}

// restrict marks the candidates that don't get a read, and returns the index of one that the read has to probe, or placement.None.
func (o *outliers) restrict(candidates []placement.Candidate, required placement.Requirement, read outlier.Read) (probe int) {
	if o == nil {
		return placement.None
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return placement.Restrict(candidates, required, o.group, read)
}

// health returns the state of an instance, and false without outlier detection.
func (o *outliers) health(id model.InstanceID) (health outlier.Health, known bool) {
	if o == nil {
		return health, false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.group.Health(clock.Boot(), id), true
}

// totals returns the counts of an instance.
func (o *outliers) totals(id model.InstanceID) outlier.Totals {
	if o == nil {
		return outlier.Totals{}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.group.Totals(id)
}

// returned returns the instances whose ejection has ended since the last call.
func (o *outliers) returned() map[model.InstanceID]outlier.Report {
	if o == nil {
		return nil
	}
	var found map[model.InstanceID]outlier.Report
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.group.Returned(clock.Boot(), func(id model.InstanceID, report outlier.Report) {
		if found == nil {
			found = make(map[model.InstanceID]outlier.Report)
		}
		found[id] = report
	})
	return found
}

// logReturned logs the instances whose ejection has ended.
func (h *Host) logReturned() {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	for database, rs := range h.replicaSets {
		for id, report := range rs.outliers.returned() {
			event.InstanceReturned(h.Logger, database, id, percent(report.Probability), report.Outcomes, report.Failures)
		}
	}
}

// percent returns a probability in percent.
func percent(p outlier.Probability) model.Percent { return model.Percent(100*p + 0.5) }

// noteOutcome counts what became of a statement at an instance. A host that passes the session on is told of a failure.
func (e *execution) noteOutcome(b *backend, outcome outlier.Outcome) {
	if outcome != outlier.Answered && e.session.relayed {
		e.session.failing = b.instance.ID
	}
	if report, ejected := b.replicaSet.outliers.observe(b.instance.ID, outcome); ejected {
		event.InstanceEjected(e.session.host.Logger, b.instance.Database, b.instance.ID, percent(report.Probability), report.Outcomes, report.Failures, model.Millis(report.For))
	}
}

// noteResponse counts an instance's response to a statement. A refusal that says that nothing has run is no outcome.
func (e *execution) noteResponse(b *backend, response *statement.Response) {
	switch {
	case response.Succeeded():
		e.noteOutcome(b, outlier.Answered)
	case response.Code == model.CodeFailed || response.Code == model.CodeTimeout:
		e.noteOutcome(b, outlier.Failed)
	}
}

// noteReply counts the outcomes that a holder reports: they count for the instance that the reply names.
func (e *execution) noteReply(reply *relay.Reply) {
	h := e.session.host
	if b := h.backend(reply.Failing); b != nil && b.instance.Database == e.policy.Database {
		e.noteOutcome(b, outlier.Failed)
	}
	if b := h.backend(reply.Instance); b != nil && b.instance.Database == e.policy.Database && reply.Failing != reply.Instance && reply.Refusal == nil {
		e.noteResponse(b, &reply.Response)
	}
}

// noteError records a failed statement, unless its error says nothing about the instance.
func (e *execution) noteError(b *backend, sent time.Time, err error) {
	if errors.Is(err, errReplaced) || errors.Is(err, errLeaseEnded) || errors.Is(err, ErrNoRoom) || isSetupRefusal(err) {
		return
	}
	b.noteFailure(sent)
	e.noteOutcome(b, outlier.Lost)
}

// countedAs returns how the next attempt at a read counts for outlier detection: only the first attempt at a lone read may probe an
// ejected instance, as a transaction would be lost with it.
func (e *execution) countedAs(limit *leaving) outlier.Read {
	switch {
	case limit == nil:
		return outlier.Question
	case e.attempts > 0 || e.startsTransaction || e.session.relayed:
		return outlier.Repeated
	}
	return outlier.First
}
