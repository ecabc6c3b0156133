package admit

import (
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
