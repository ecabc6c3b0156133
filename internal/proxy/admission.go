package proxy

import "redwingspread/internal/model"

// admit admits a request by its rank and returns a function that releases its slot; requests of an open transaction are always admitted.
func (p *Proxy) admit(request Request) (release func(), err error) {
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
