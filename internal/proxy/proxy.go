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

// Proxy runs callers' requests; it does not depend on their encoding.
type Proxy struct {
	// Host is this host.
	Host model.Host
	// View returns the current view of the fleet.
	View func() *view.View
	// Changed returns a channel that is closed at the next change of the view.
	Changed func() <-chan struct{}
	// Local runs work on databases that this host owns.
	Local owner.Service
	// Peer returns the service of another host.
	Peer func(model.Host) owner.Service
	// Codec encodes and decodes session tokens.
	Codec *session.Codec
	// NewSession returns the id of a new session.
	NewSession func() model.SessionID
	// Redirect reports the owner that a refusal of a peer names to the control loop.
	Redirect func(database model.DatabaseID, owner model.HostID, term model.Term)
	// Budget limits the retries of work whose outcome is unknown.
	Budget *retry.Budget
	// Limiter limits the requests in progress by rank.
	Limiter *limit.RankLimiter
	// Now returns the current time.
	Now func() time.Time

	ownerContexts *ownerContexts
}

// New returns a proxy; the fields without a default must be set before the first request.
func New() *Proxy {
	return &Proxy{
		Redirect:      func(model.DatabaseID, model.HostID, model.Term) {},
		Budget:        retry.NewBudget(),
		Limiter:       limit.NewRankLimiter(),
		Now:           time.Now,
		ownerContexts: newOwnerContexts(),
	}
}

// Execute runs one statement, alone or in its transaction.
func (p *Proxy) Execute(ctx context.Context, request Request) (Answer, error) {
	return p.run(ctx, request, owner.Service.Execute, request.Transaction == "")
}

// Begin begins a transaction; the answer's result carries its id.
func (p *Proxy) Begin(ctx context.Context, request Request) (Answer, error) {
	return p.run(ctx, request, begin, false)
}

// Commit commits the request's transaction and looks its outcome up when the answer is lost.
func (p *Proxy) Commit(ctx context.Context, request Request) (Answer, error) {
	return p.endTransaction(ctx, request, p.commit)
}

// Rollback rolls the request's transaction back.
func (p *Proxy) Rollback(ctx context.Context, request Request) error {
	_, err := p.endTransaction(ctx, request, func(ctx context.Context, work model.Work) (model.Result, error) {
		return p.forward(ctx, work, func(s owner.Service, ctx context.Context, work model.Work) (model.Result, error) {
			return model.Result{}, s.Rollback(ctx, work)
		})
	})
	return err
}

// Outcome looks up the recorded outcome of a request whose answer was lost.
func (p *Proxy) Outcome(ctx context.Context, request Request) (Answer, error) {
	token, err := p.decodeToken(request.Token)
	if err != nil {
		return Answer{}, err
	}
	work := p.outcomeWork(request, token)
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	result, err := p.forward(ctx, work, owner.Service.Outcome)
	return p.newAnswer(token, work, result, err, false)
}

// ownerCall is one method of an owner's service.
type ownerCall func(owner.Service, context.Context, model.Work) (model.Result, error)

// begin begins a transaction; a lost answer counts as not run, since a transaction that nobody can commit has no effect.
func begin(service owner.Service, ctx context.Context, work model.Work) (model.Result, error) {
	result, err := service.Begin(ctx, work)
	if err != nil && !model.NotRun(err) {
		err = model.Refuse(model.CodeUnavailable, "the begin got no answer: %v", err)
	}
	return result, err
}

// run validates and admits a request, forwards it as work to the owner and builds the answer.
// recorded says that the endpoint records the outcome of a write; the session token then keeps it pending while it is unknown.
func (p *Proxy) run(ctx context.Context, request Request, call ownerCall, recorded bool) (Answer, error) {
	token, err := p.decodeToken(request.Token)
	if err != nil {
		return Answer{}, err
	}
	work, err := p.newWork(request, token)
	if err != nil {
		return Answer{}, err
	}
	release, err := p.admit(request)
	if err != nil {
		return Answer{}, err
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	token, err = p.resolvePending(ctx, token, work)
	if err != nil {
		return Answer{}, err
	}
	work.MinPoint = token.Point(work.Database)
	result, err := p.forward(ctx, work, call)
	return p.newAnswer(token, work, result, err, recorded && work.Statement.Access == model.Write)
}

// endTransaction ends the request's transaction through run, with the database that the transaction id names.
func (p *Proxy) endTransaction(ctx context.Context, request Request, run func(context.Context, model.Work) (model.Result, error)) (Answer, error) {
	token, err := p.decodeToken(request.Token)
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
	return p.newAnswer(token, work, result, err, true)
}

// decodeToken decodes the caller's session token, or starts a session when there is none.
func (p *Proxy) decodeToken(text string) (session.Token, error) {
	if text == "" {
		return session.New(p.NewSession()), nil
	}
	return p.Codec.Decode(text)
}

// newWork translates a request into work by the policy in force.
func (p *Proxy) newWork(request Request, token session.Token) (model.Work, error) {
	currentView := p.View()
	if currentView.Databases[request.Database] == nil {
		return model.Work{}, model.Refuse(model.CodeUnknownDatabase, "database %q is not known", request.Database)
	}
	effective, found := currentView.Policy.Lookup(p.scope(request))
	if !found {
		return model.Work{}, model.Refuse(model.CodeUnknownKind, "kind of work %q is not known", request.Kind)
	}
	timeout := effective.Deadline
	if request.Timeout > 0 {
		timeout = request.Timeout
	}
	work := model.Work{
		Origin:   p.Host.ID,
		Request:  request.ID,
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
		Deadline:      p.Now().Add(timeout),
	}
	return work, nil
}

// maxAge returns the maximum staleness of a read outside a transaction, or nil if none is set; else nil.
func maxAge(request Request, effective config.EffectiveSettings) *model.Age {
	if effective.Access == model.Write || request.Transaction != "" {
		return nil
	}
	if request.MaxAge != nil {
		return request.MaxAge
	}
	return effective.MaxAge
}

// outcomeTimeout is the default time limit of an outcome query and of the end of a transaction.
const outcomeTimeout = 10 * time.Second

// outcomeWork returns the work that queries the outcome of a request or ends a transaction.
func (p *Proxy) outcomeWork(request Request, token session.Token) model.Work {
	timeout := outcomeTimeout
	if request.Timeout > 0 {
		timeout = request.Timeout
	}
	return model.Work{
		Origin:    p.Host.ID,
		Request:   request.ID,
		Database:  request.Database,
		Session:   token.Session,
		Statement: model.Statement{Access: model.Read},
		MinPoint:  token.Point(request.Database),
		Deadline:  p.Now().Add(timeout),
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
