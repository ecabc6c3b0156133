package proxy

import (
	"context"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/limit"
	"redwingspread/internal/model"
	"redwingspread/internal/owner"
	"redwingspread/internal/retry"
	"redwingspread/internal/session"
	"redwingspread/internal/transaction"
	"redwingspread/internal/view"
)

// Proxy runs callers' requests, apart from their encoding.
type Proxy struct {
	// Host is this host.
	Host model.Host
	// View returns the newest view of the fleet.
	View func() *view.View
	// Changed returns a channel that closes at the next change of the view.
	Changed func() <-chan struct{}
	// Local runs work on the databases that this host owns.
	Local owner.Service
	// Peer returns the service of another host.
	Peer func(model.Host) owner.Service
	// Codec reads and writes session tokens.
	Codec *session.Codec
	// NewSession names a new session.
	NewSession func() model.SessionID
	// Redirect tells control of an owner that a peer named.
	Redirect func(database model.DatabaseID, owner model.HostID, term model.Term)
	// Budget limits the repeats of work whose outcome is unknown.
	Budget *retry.Budget
	// Gate bounds the requests in progress by rank.
	Gate *limit.RankLimiter
	// Now reads the clock.
	Now func() time.Time

	tenures *tenures
}

// New returns a proxy whose exported fields are to be set before its first request.
func New() *Proxy {
	return &Proxy{
		Redirect: func(model.DatabaseID, model.HostID, model.Term) {},
		Budget:   retry.NewBudget(),
		Gate:     limit.NewRankLimiter(),
		Now:      time.Now,
		tenures:  newTenures(),
	}
}

// Execute runs one statement, alone or in its transaction.
func (p *Proxy) Execute(ctx context.Context, request Request) (Answer, error) {
	return p.run(ctx, request, owner.Service.Execute, request.Transaction == "")
}

// Begin begins a transaction, whose name is in the answer's result.
func (p *Proxy) Begin(ctx context.Context, request Request) (Answer, error) {
	return p.run(ctx, request, begin, false)
}

// Commit commits the request's transaction and resolves its outcome when the answer is lost.
func (p *Proxy) Commit(ctx context.Context, request Request) (Answer, error) {
	return p.end(ctx, request, p.commit)
}

// Rollback rolls the request's transaction back.
func (p *Proxy) Rollback(ctx context.Context, request Request) error {
	_, err := p.end(ctx, request, func(ctx context.Context, work model.Work) (model.Result, error) {
		return p.forward(ctx, work, func(s owner.Service, ctx context.Context, work model.Work) (model.Result, error) {
			return model.Result{}, s.Rollback(ctx, work)
		})
	})
	return err
}

// Outcome resolves the recorded outcome of a request whose answer was lost.
func (p *Proxy) Outcome(ctx context.Context, request Request) (Answer, error) {
	token, err := p.token(request.Token)
	if err != nil {
		return Answer{}, err
	}
	work := p.outcomeWork(request, token)
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	result, err := p.forward(ctx, work, owner.Service.Outcome)
	return p.conclude(token, work, result, err, false)
}

// call is one method of an owner's service.
type call func(owner.Service, context.Context, model.Work) (model.Result, error)

// begin begins a transaction; one that nobody can commit has no effect.
func begin(service owner.Service, ctx context.Context, work model.Work) (model.Result, error) {
	result, err := service.Begin(ctx, work)
	if err != nil && !model.NotRun(err) {
		err = model.Refuse(model.CodeUnavailable, "the begin got no answer: %v", err)
	}
	return result, err
}

// run checks a request, makes work of it, sends it to the owner and answers; a recorded write is remembered while its outcome is unknown.
func (p *Proxy) run(ctx context.Context, request Request, call call, recorded bool) (Answer, error) {
	token, err := p.token(request.Token)
	if err != nil {
		return Answer{}, err
	}
	work, err := p.work(request, token)
	if err != nil {
		return Answer{}, err
	}
	leave, err := p.enter(request)
	if err != nil {
		return Answer{}, err
	}
	defer leave()
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	token, err = p.settlePending(ctx, token, work)
	if err != nil {
		return Answer{}, err
	}
	work.MinPoint = token.Point(work.Database)
	result, err := p.forward(ctx, work, call)
	return p.conclude(token, work, result, err, recorded && work.Statement.Access == model.Write)
}

// end sends the end of a transaction to the host that holds it.
func (p *Proxy) end(ctx context.Context, request Request, run func(context.Context, model.Work) (model.Result, error)) (Answer, error) {
	token, err := p.token(request.Token)
	if err != nil {
		return Answer{}, err
	}
	request.Database, err = transaction.DatabaseOf(request.Transaction)
	if err != nil {
		return Answer{}, err
	}
	work := p.outcomeWork(request, token)
	work.Transaction = request.Transaction
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	result, err := run(ctx, work)
	return p.conclude(token, work, result, err, true)
}

// token decodes the caller's token, or begins a session.
func (p *Proxy) token(text string) (session.Token, error) {
	if text == "" {
		return session.New(p.NewSession()), nil
	}
	return p.Codec.Decode(text)
}

// work makes the work of a request by the policy in force.
func (p *Proxy) work(request Request, token session.Token) (model.Work, error) {
	view := p.View()
	if view.Databases[request.Database] == nil {
		return model.Work{}, model.Refuse(model.CodeUnknownDatabase, "database %q is not known", request.Database)
	}
	effective, found := view.Policy.Lookup(p.scope(request))
	if !found {
		return model.Work{}, model.Refuse(model.CodeUnknownKind, "kind of work %q is not known", request.Kind)
	}
	limit := effective.Deadline
	if request.Limit > 0 {
		limit = request.Limit
	}
	work := model.Work{
		Origin:   p.Host.ID,
		Request:  request.Request,
		Database: request.Database,
		Session:  token.Session,
		Statement: model.Statement{
			Kind:      request.Kind,
			Access:    effective.Access,
			Operation: request.Operation,
			Arguments: request.Arguments,
		},
		MinPoint:      token.Point(request.Database),
		TokenComplete: request.Token != "" && token.Complete(request.Database),
		MaxAge:        maxAge(request, effective),
		Transaction:   request.Transaction,
		Deadline:      p.Now().Add(limit),
	}
	return work, nil
}

// maxAge returns the age that a read accepts; writes and transactions accept none.
func maxAge(request Request, effective config.EffectiveSettings) *model.Age {
	if effective.Access == model.Write || request.Transaction != "" {
		return nil
	}
	if request.MaxAge != nil {
		return request.MaxAge
	}
	return effective.MaxAge
}

// outcomeLimit is the time to resolve an outcome or to end a transaction when the caller names none.
const outcomeLimit = 10 * time.Second

// outcomeWork makes the work that asks for a request's outcome.
func (p *Proxy) outcomeWork(request Request, token session.Token) model.Work {
	limit := outcomeLimit
	if request.Limit > 0 {
		limit = request.Limit
	}
	return model.Work{
		Origin:    p.Host.ID,
		Request:   request.Request,
		Database:  request.Database,
		Session:   token.Session,
		Statement: model.Statement{Access: model.Read},
		MinPoint:  token.Point(request.Database),
		Deadline:  p.Now().Add(limit),
	}
}

// scope returns the scope that a request's settings are looked up for.
func (p *Proxy) scope(request Request) config.Scope {
	return config.Scope{
		Database:   request.Database,
		Kind:       request.Kind,
		DataCentre: p.Host.DataCentre,
		Region:     p.Host.Region,
	}
}
