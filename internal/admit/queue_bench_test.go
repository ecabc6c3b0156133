package admit

import (
	"fmt"
	"testing"
	"time"

	"redwingspread/internal/model"
)

func BenchmarkDecision(b *testing.B) {
	policies := map[string]func() Policy[int]{
		"FIFO":           func() Policy[int] { return NewFIFO[int]() },
		"StrictPriority": func() Policy[int] { return NewStrictPriority[int]() },
		"FairShare":      func() Policy[int] { return NewFairShare[int]() },
	}
	for name, newPolicy := range policies {
		b.Run(name, func(b *testing.B) {
			q := newQueue(newPolicy(), [model.RankCount]model.Percent{40, 20, 5}, 1000)
			tickets := offerTickets(q, 500)
			now := startTime
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				ticket, _ := q.Next(now, EligibleAny)
				q.Finish(now, ticket, time.Millisecond)
				tickets[i%len(tickets)].Deadline = time.Time{}
				q.Offer(now, ticket)
			}
		})
	}
}

// offerTickets offers tickets of all ranks, six kinds and thirty sessions.
func offerTickets(q *Queue[int], count int) []*Ticket[int] {
	kinds := []model.KindID{"pay", "checkout", "roster", "catalogue", "report", "export"}
	tickets := make([]*Ticket[int], count)
	for i := range tickets {
		kind := i % len(kinds)
		tickets[i] = &Ticket[int]{Class: Class{
			Rank:    model.Rank(kind/2 + 1),
			Kind:    kinds[kind],
			Session: model.SessionID(rune('a' + i%30)),
			Floor:   10,
		}}
		q.Offer(startTime, tickets[i])
	}
	return tickets
}

// BenchmarkTenants measures a decision where each of many tenants has work waiting: a turn, and an offer to a full queue.
func BenchmarkTenants(b *testing.B) {
	const limit = 256 // the queue of a scheduler
	rates := make(map[model.TenantID]model.Rate)
	for i := range limit {
		rates[model.TenantID(fmt.Sprintf("tenant-%d", i))] = model.Rate(i + 1)
	}
	tests := map[string]struct {
		tenants int
		full    bool // each offer evicts a ticket, and none is served
	}{
		"turn, 82 tenants":      {tenants: 82},
		"turn, 256 tenants":     {tenants: limit},
		"eviction, 82 tenants":  {tenants: 82, full: true},
		"eviction, 256 tenants": {tenants: limit, full: true},
	}
	for name, test := range tests {
		b.Run(name, func(b *testing.B) {
			policy := NewFairShare[int]()
			policy.SetWeights(weightsOf(rates))
			q := newQueue(policy, [model.RankCount]model.Percent{40, 20, 5}, limit)
			tickets := make([]*Ticket[int], limit)
			for i := range tickets {
				tenant := model.TenantID(fmt.Sprintf("tenant-%d", i%test.tenants))
				tickets[i] = &Ticket[int]{Class: Class{Rank: 1, Kind: "pay", Tenant: tenant, Session: model.SessionID(tenant)}}
				q.Offer(startTime, tickets[i])
			}
			spare := &Ticket[int]{Class: Class{Rank: 1, Kind: "pay", Tenant: "tenant-0", Session: "spare"}}
			now := startTime
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if !test.full {
					ticket, _ := q.Next(now, EligibleAny)
					q.Finish(now, ticket, time.Millisecond)
					q.Offer(now, ticket)
					continue
				}
				if _, evicted, _ := q.Offer(now, spare); evicted != nil {
					spare = evicted
				}
			}
		})
	}
}
