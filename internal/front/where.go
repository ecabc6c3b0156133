package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/model"
	"redwingspread/internal/outlier"
	"redwingspread/internal/placement"
	"redwingspread/internal/session"
	"redwingspread/pkg/api/frontapi"
)

// placementPath is the path below which the questions of the schema are answered.
const placementPath = "/v1/where"

// placementRuledOut is the exclusion of replicas from statements that need the primary.
const placementRuledOut = "replica"

// withPlacement returns a handler that answers where statements would go and passes other requests on.
func (h *Host) withPlacement(next http.Handler) http.Handler {
	server, err := frontapi.NewServer(placementAPI{h})
	if err != nil {
		event.DependencyLost(h.Logger, placementPath, err)
		return next
	}
	mux := http.NewServeMux()
	mux.Handle(placementPath, server)
	mux.Handle("/", next)
	return mux
}

// placementAPI answers where statements would go. It changes nothing.
type placementAPI struct {
	host *Host
}

// errNoSuchKind is the refusal of a question about an unknown kind of work.
var errNoSuchKind = errors.New("the host knows no such kind of work, or no instance of its database")

// NewError converts an error to a refusal.
func (a placementAPI) NewError(_ context.Context, err error) *frontapi.RefusalStatusCode {
	status := http.StatusInternalServerError
	if errors.Is(err, errNoSuchKind) {
		status = http.StatusNotFound
	}
	return &frontapi.RefusalStatusCode{StatusCode: status, Response: frontapi.Refusal{Message: err.Error()}}
}

// GetPlacement returns where a standalone statement of a new session would go now.
func (a placementAPI) GetPlacement(_ context.Context, params frontapi.GetPlacementParams) (*frontapi.Placement, error) {
	h := a.host
	policy, found := h.view().Directory.Kinds[model.KindID(params.Kind)]
	rs := h.replicaSet(policy.Database)
	if !found || rs == nil {
		return nil, errNoSuchKind
	}
	e := &execution{
		session: &callerSession{host: h, state: session.NewSession(), tenant: model.TenantID(params.Tenant.Value)},
		policy:  policy,
		access:  model.Read,
	}
	if params.Write.Value {
		e.access = model.Write
	}
	return e.explain(rs), nil
}

// explain decides with a copy of the limit of what leaves, and returns the decision and what it was made from.
func (e *execution) explain(rs *replicaSet) *frontapi.Placement {
	h := e.session.host
	backends, read, limit := rs.list(), e.requirement(rs), rs.leaving.copy()
	candidates := e.survey(nil, backends, h.primary(e.policy.Database).Instance)
	if !e.needsPrimary() {
		rs.outliers.restrict(candidates, read.Requirement, outlier.Question)
	}
	found, ok := e.place(backends, candidates, &read, limit)
	answer := &frontapi.Placement{
		Host:         string(h.self.ID),
		DataCentre:   string(h.self.DataCentre),
		Database:     string(e.policy.Database),
		SharePercent: int(limit.share()),
		GoalUs:       e.policy.Goal.Microseconds(),
		Candidates:   make([]frontapi.Candidate, 0, len(candidates)),
	}
	if ok {
		answer.Instance, answer.Reason = string(found.backend.instance.ID), found.choice.Reason.String()
	}
	now := time.Now()
	for i := range candidates {
		answer.Candidates = append(answer.Candidates, e.describe(now, backends[i], &candidates[i], &read))
	}
	return answer
}

// describe returns a candidate as the decision sees it.
func (e *execution) describe(now time.Time, b *backend, c *placement.Candidate, read *placement.Read) frontapi.Candidate {
	room := b.scheduler.Room()
	ruledOut := placement.RuledOut(c, read.Requirement).String()
	if e.needsPrimary() && !c.Primary {
		ruledOut = placementRuledOut
	}
	candidate := frontapi.Candidate{
		Instance:    string(b.instance.ID),
		DataCentre:  string(b.instance.DataCentre),
		Edge:        c.Edge.String(),
		Primary:     c.Primary,
		RuledOut:    ruledOut,
		AnswerUs:    placement.Answer(c, read.Requirement).Microseconds(),
		RoundTripUs: c.RoundTrip.Microseconds(),
		CostUs:      e.session.host.edgeCosts().Of(c.Edge).Microseconds(),
		LagUs:       c.Lag.Microseconds(),
		Waiting:     room.Waiting,
		Running:     int(room.Running),
		Limit:       int(room.Limit),
		FactsAgeUs:  b.factsAge(now),
	}
	if health, known := b.replicaSet.outliers.health(b.instance.ID); known {
		candidate.FailurePercent = frontapi.NewOptInt(int(percent(health.Probability)))
		candidate.ReadsPercent = frontapi.NewOptInt(int(100 * health.Share))
	}
	return candidate
}

// factsAge returns the microseconds since the instance last responded, or -1 if it never did.
func (b *backend) factsAge(now time.Time) int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.lastResponse.IsZero() {
		return -1
	}
	return now.Sub(b.lastResponse).Microseconds()
}

// copy returns a limit in the same state, with which a choice can be tried.
func (l *leaving) copy() *leaving {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return &leaving{spill: l.spill}
}
