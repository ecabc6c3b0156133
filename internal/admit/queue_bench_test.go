package admit

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

func BenchmarkDecision(b *testing.B) {
	policies := map[string]func() Policy[int]{
		"arrival": func() Policy[int] { return NewFIFO[int]() },
		"strict":  func() Policy[int] { return NewStrictPriority[int]() },
		"floors":  func() Policy[int] { return NewFairShare[int]() },
	}
	for name, make := range policies {
		b.Run(name, func(b *testing.B) {
			q := newQueue(make(), [model.Ranks]model.Percent{40, 20, 5}, 1000)
			tickets := fill(q, 500)
			now := start
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

// fill offers tickets of all ranks, six kinds and thirty sessions.
func fill(q *Queue[int], number int) []*Ticket[int] {
	kinds := []model.KindID{"pay", "checkout", "roster", "catalogue", "report", "export"}
	tickets := make([]*Ticket[int], number)
	for i := range tickets {
		kind := i % len(kinds)
		tickets[i] = &Ticket[int]{Class: Class{
			Rank:    model.Rank(kind/2 + 1),
			Kind:    kinds[kind],
			Session: model.SessionID(rune('a' + i%30)),
			Floor:   10,
		}}
		q.Offer(start, tickets[i])
	}
	return tickets
}
