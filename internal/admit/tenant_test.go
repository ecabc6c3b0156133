package admit

import (
	"fmt"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// weightsOf returns the weights of tenants with the rates.
func weightsOf(rates map[model.TenantID]model.Rate) *model.TenantWeights {
	tenants := make(map[model.TenantID]model.Tenant)
	for id, rate := range rates {
		tenants[id] = model.Tenant{ID: id, Limited: rate >= 0, Rate: rate}
	}
	return model.NewTenantWeights(tenants)
}

// of returns a class of work of a tenant.
func of(tenant model.TenantID, session model.SessionID) Class {
	return Class{Rank: 1, Kind: "pay", Tenant: tenant, Session: session}
}

// TestSharesOfTenants guards against a tenant that gets service by the number of its requests or sessions instead of its weight.
func TestSharesOfTenants(t *testing.T) {
	const repeats = 30 // thousands of tickets, so that the tenants' credit at the start does not count
	tests := map[string]struct {
		rates     map[model.TenantID]model.Rate
		workloads []workload
		want      []int // tickets served out of a thousand, within three
	}{
		"by rate": {
			rates:     map[model.TenantID]model.Rate{"a": 30, "b": 10},
			workloads: []workload{{of("a", "1"), 20}, {of("b", "2"), 20}}, want: []int{750, 250},
		},
		"not by requests": {
			rates:     map[model.TenantID]model.Rate{"a": 10, "b": 10},
			workloads: []workload{{of("a", "1"), 50}, {of("b", "2"), 3}}, want: []int{500, 500},
		},
		"not by sessions": {
			rates:     map[model.TenantID]model.Rate{"a": 10, "b": 10},
			workloads: []workload{{of("a", "1"), 9}, {of("a", "2"), 9}, {of("a", "3"), 9}, {of("b", "4"), 9}}, want: []int{167, 167, 167, 500},
		},
		"a session of the same name at two tenants": {
			rates:     map[model.TenantID]model.Rate{"a": 30, "b": 10},
			workloads: []workload{{of("a", "1"), 20}, {of("b", "1"), 20}}, want: []int{750, 250},
		},
		"one request at a time": {
			rates:     map[model.TenantID]model.Rate{"a": 90, "b": 10},
			workloads: []workload{{of("a", "1"), 20}, {of("b", "2"), 1}}, want: []int{900, 100},
		},
		"no rate and a rate of zero weigh as the smallest": {
			rates:     map[model.TenantID]model.Rate{"a": 20, "b": 10, "zero": 0, "none": -1},
			workloads: []workload{{of("a", "1"), 9}, {of("b", "2"), 9}, {of("zero", "3"), 9}, {of("none", "4"), 9}}, want: []int{400, 200, 200, 200},
		},
		"work without a tenant is one tenant": {
			rates:     map[model.TenantID]model.Rate{"a": 20, "b": 10},
			workloads: []workload{{of("a", "1"), 9}, {of("", "2"), 9}, {of("", "3"), 9}}, want: []int{667, 167, 167},
		},
		"a tiny rate can't starve the others": {
			rates:     map[model.TenantID]model.Rate{"a": 10, "b": 10, "tiny": 1e-9},
			workloads: []workload{{of("a", "1"), 9}, {of("b", "2"), 9}}, want: []int{500, 500},
		},
		"unused service goes to the others": {
			rates:     map[model.TenantID]model.Rate{"a": 10, "b": 90},
			workloads: []workload{{of("a", "1"), 9}}, want: []int{1000},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			policy := NewFairShare[int]()
			policy.SetWeights(weightsOf(test.rates))
			got := countServed(newQueue(policy, [model.RankCount]model.Percent{}, 200), test.workloads, 1000*repeats)
			for i := range got {
				if got[i] < (test.want[i]-3)*repeats || got[i] > (test.want[i]+3)*repeats {
					t.Fatalf("got served %v, want %v times %d", got, test.want, repeats)
				}
			}
		})
	}
}

// TestEvictionBetweenTenants guards against a tenant within its share that loses its place to one beyond it.
func TestEvictionBetweenTenants(t *testing.T) {
	tests := map[string]struct {
		rates   map[model.TenantID]model.Rate
		waiting []Class
		offer   Class
		want    model.TenantID // of the ticket that is refused or evicted
		evicted bool           // it waited already
	}{
		"the largest queue": {
			rates: map[model.TenantID]model.Rate{"a": 10, "b": 10}, waiting: []Class{of("b", "1"), of("a", "2"), of("a", "3"), of("a", "4")},
			offer: of("b", "5"), want: "a", evicted: true,
		},
		"in proportion to the weights": {
			rates: map[model.TenantID]model.Rate{"a": 40, "b": 10}, waiting: []Class{of("a", "1"), of("a", "2"), of("b", "3"), of("b", "4")},
			offer: of("a", "5"), want: "b", evicted: true,
		},
		"the new ticket counts": {
			rates: map[model.TenantID]model.Rate{"a": 10, "b": 10}, waiting: []Class{of("a", "1"), of("a", "2"), of("b", "3"), of("b", "4")},
			offer: of("b", "5"), want: "b", evicted: true,
		},
		"a new tenant beyond a small share is refused": {
			rates: map[model.TenantID]model.Rate{"a": 10, "b": 10, "c": 1}, waiting: []Class{of("a", "1"), of("a", "2"), of("b", "3"), of("b", "4")},
			offer: of("c", "5"), want: "c",
		},
		"a small tenant's only statement stays while a large one exceeds its share by more": {
			rates: map[model.TenantID]model.Rate{"a": 700, "b": 700, "c": 1}, waiting: []Class{of("c", "1"), of("a", "2"), of("a", "3"), of("a", "4"), of("a", "5"), of("a", "6"), of("a", "7")},
			offer: of("b", "8"), want: "a", evicted: true,
		},
		"in another kind of the rank": {
			rates:   map[model.TenantID]model.Rate{"a": 10, "b": 10},
			waiting: []Class{of("b", "1"), {Rank: 1, Kind: "other", Tenant: "a"}, {Rank: 1, Kind: "other", Tenant: "a", Session: "2"}, of("b", "3")},
			offer:   Class{Rank: 1, Kind: "other", Tenant: "a", Session: "4"}, want: "a", evicted: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			policy := NewFairShare[int]()
			policy.SetWeights(weightsOf(test.rates))
			q := newQueue(policy, [model.RankCount]model.Percent{}, len(test.waiting))
			for i, class := range test.waiting {
				q.Offer(startTime, &Ticket[int]{Class: class, Value: i})
			}
			ticket := &Ticket[int]{Class: test.offer}
			verdict, evicted, _ := q.Offer(startTime, ticket)
			if (verdict == Wait) != test.evicted || (evicted != nil) != test.evicted {
				t.Fatalf("got verdict %d, evicted %v, want eviction %v", verdict, evicted, test.evicted)
			}
			refused := ticket
			if evicted != nil {
				refused = evicted
			}
			if got := refused.Class.Tenant; got != test.want {
				t.Errorf("got tenant %q refused, want %q", got, test.want)
			}
		})
	}
}

// TestChangeOfWeights guards against turns by the weights of an earlier configuration, and against work of a tenant that has left it and
// is served no more.
func TestChangeOfWeights(t *testing.T) {
	tests := map[string]struct {
		rates map[model.TenantID]model.Rate // of the new configuration; nil for one without tenants
		want  []int                         // of a thousand tickets of a and b, within three
	}{
		"other rates":                      {rates: map[model.TenantID]model.Rate{"a": 10, "b": 30}, want: []int{250, 750}},
		"a tenant has left":                {rates: map[model.TenantID]model.Rate{"b": 30, "c": 10}, want: []int{250, 750}},
		"no tenants any more, equal turns": {want: []int{500, 500}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			policy := NewFairShare[int]()
			policy.SetWeights(weightsOf(map[model.TenantID]model.Rate{"a": 30, "b": 10}))
			q := newQueue(policy, [model.RankCount]model.Percent{}, 200)
			workloads := []workload{{of("a", "1"), 20}, {of("b", "2"), 20}}
			for range 20 {
				q.Offer(startTime, &Ticket[int]{Class: of("a", "0")})
				q.Offer(startTime, &Ticket[int]{Class: of("b", "0"), Value: 1})
			}
			var weights *model.TenantWeights
			if test.rates != nil {
				weights = weightsOf(test.rates)
			}
			policy.SetWeights(weights)
			for got := 0; got < 40; got++ {
				if ticket, _ := q.Next(startTime, EligibleAny); ticket == nil {
					t.Fatalf("got %d tickets served that waited before the change, want 40", got)
				}
			}
			const repeats = 30
			for i, got := range countServed(q, workloads, 1000*repeats) {
				if got < (test.want[i]-3)*repeats || got > (test.want[i]+3)*repeats {
					t.Errorf("tenant %d: got %d served, want %d", i, got, test.want[i]*repeats)
				}
			}
		})
	}
}

// TestStateOfTenants guards against memory that grows with the tenants that were ever seen.
func TestStateOfTenants(t *testing.T) {
	policy := NewFairShare[int]()
	policy.SetWeights(weightsOf(nil))
	q := newQueue(policy, [model.RankCount]model.Percent{}, 100)
	now := startTime
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		q.Offer(now, &Ticket[int]{Class: of(model.TenantID(fmt.Sprint(i)), "s")})
		if i%3 > 0 {
			ticket, _ := q.Next(now, EligibleAny)
			q.Finish(now, ticket, 50*time.Millisecond)
		}
		if q.Len() > 20 {
			for q.Len() > 2 {
				ticket, _ := q.Next(now, EligibleAny)
				q.Cancel(ticket)
			}
		}
	}
	k := policy.ranks[0].kinds["pay"]
	for q.Len() > 0 {
		ticket, _ := q.Next(now, EligibleAny)
		q.Finish(now, ticket, time.Millisecond)
	}
	for range 100 { // pushes and pops of one tenant, by which idle tenants are forgotten
		q.Offer(now, &Ticket[int]{Class: of("last", "s")})
		ticket, _ := q.Next(now, EligibleAny)
		q.Finish(now, ticket, time.Millisecond)
	}
	if got := len(k.tenants); got > maxIdleTenants+2 {
		t.Errorf("got %d tenants remembered, want at most %d", got, maxIdleTenants+2)
	}
	if got := policy.freeTenantQueues.length; got > 100 {
		t.Errorf("got %d unused queues kept, want at most 100", got)
	}
}
