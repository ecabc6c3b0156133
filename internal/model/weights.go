package model

// Weight is a tenant's share of what tenants compete for, as a multiple of the smallest tenant's.
type Weight float64

// maxWeight keeps the share of a mistyped, tiny rate from making the other tenants' charges too small to count.
const maxWeight Weight = 10_000

// TenantWeights are the weights of the tenants of one configuration; it is immutable.
type TenantWeights struct {
	weights map[TenantID]Weight // of tenants that weigh more than the smallest
	sum     Weight
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
	for id := range tenants {
		w.sum += w.Of(id)
	}
	return w
}

// Part returns the weight of a tenant as a part of that of all tenants, from 0 to 1.
func (w *TenantWeights) Part(id TenantID) float64 {
	if w == nil || w.sum == 0 {
		return 0
	}
	return float64(w.Of(id) / w.sum)
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
