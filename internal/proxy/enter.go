package proxy

import "redwingspread/internal/model"

// admit lets a request in by its rank and returns the way to let it out; work of a transaction that has begun is let in.
func (p *Proxy) admit(request Request) (leave func(), err error) {
	policy := p.View().Policy
	effective, found := policy.Lookup(p.scope(request))
	if !found {
		return nil, model.Refuse(model.CodeUnknownKind, "kind of work %q is not known", request.Kind)
	}
	if request.Transaction != "" {
		return func() {}, nil
	}
	if refusal := p.Limiter.Acquire(effective.Rank, policy.RankFloors); refusal != nil {
		return nil, refusal
	}
	return func() { p.Limiter.Release(effective.Rank) }, nil
}
