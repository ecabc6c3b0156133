package model

import "testing"

// TestTenantWeights guards against a tenant whose turns depend on anything but its allowed rate.
func TestTenantWeights(t *testing.T) {
	limited := func(rate Rate) Tenant { return Tenant{Limited: true, Rate: rate} }
	tests := map[string]struct {
		tenants map[TenantID]Tenant
		want    map[TenantID]Weight
	}{
		"in proportion to the rates":        {tenants: map[TenantID]Tenant{"a": limited(5), "b": limited(20)}, want: map[TenantID]Weight{"a": 1, "b": 4}},
		"a rate of zero":                    {tenants: map[TenantID]Tenant{"a": limited(0), "b": limited(5), "c": limited(10)}, want: map[TenantID]Weight{"a": 1, "b": 1, "c": 2}},
		"no rate":                           {tenants: map[TenantID]Tenant{"a": {Rate: 7}, "b": limited(5), "c": limited(10)}, want: map[TenantID]Weight{"a": 1, "c": 2}},
		"an unknown tenant, and none":       {tenants: map[TenantID]Tenant{"b": limited(5), "c": limited(10)}, want: map[TenantID]Weight{"x": 1, "": 1}},
		"all rates zero":                    {tenants: map[TenantID]Tenant{"a": limited(0), "b": {}}, want: map[TenantID]Weight{"a": 1, "b": 1}},
		"no tenants":                        {want: map[TenantID]Weight{"a": 1}},
		"a tiny rate, by which all are big": {tenants: map[TenantID]Tenant{"a": limited(1e-9), "b": limited(5)}, want: map[TenantID]Weight{"a": 1, "b": maxWeight}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			weights := NewTenantWeights(test.tenants)
			for id, want := range test.want {
				if got := weights.Of(id); got != want {
					t.Errorf("got weight %v of %q, want %v", got, id, want)
				}
			}
		})
	}
}
