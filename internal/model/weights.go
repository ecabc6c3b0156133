package model

// Weight is a tenant's share of what tenants compete for, as a multiple of the smallest tenant's.
type Weight float64

// maxWeight keeps the share of a mistyped, tiny rate from making the other tenants' charges too small to count.
const maxWeight Weight = 10_000

// TenantWeights are the weights of the tenants of one configuration; it is immutable.
type TenantWeights struct {
	weights map[TenantID]Weight // of tenants that weigh more than the smallest
}

// NewTenantWeights returns weights in proportion to the tenants' rates.
func NewTenantWeights(tenants map[TenantID]Tenant) *TenantWeights {
	smallest := Rate(0)
	for _, tenant := range tenants {
		if tenant.Limited && tenant.Rate > 0 && (smallest == 0 || tenant.Rate < smallest) {
			smallest = tenant.Rate
		}
	}
	w := &TenantWeights{weights: make(map[TenantID]Weight)}
	for id, tenant := range tenants {
		if tenant.Limited && tenant.Rate > smallest {
			w.weights[id] = min(Weight(tenant.Rate/smallest), maxWeight)
		}
	}
	return w
}

// Of returns the weight of a tenant, which is that of the smallest for a tenant without a rate and for an unknown one.
func (w *TenantWeights) Of(id TenantID) Weight {
	if w == nil {
		return 1
	}
	if weight, found := w.weights[id]; found {
		return weight
	}
	return 1
}
