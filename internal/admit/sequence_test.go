package admit

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// decisionTrace offers, serves, cancels and withdraws random work and returns every decision in order, and the queue with what waits
// still. It calls atStep before each offer, unless that is nil.
func decisionTrace(policy Policy[int], seed uint64, tenantOf func(session int) model.TenantID, atStep func(step int)) (decisions []string, q *Queue[int]) {
	const steps = 20000
	q = newQueue(policy, [model.RankCount]model.Percent{50, 20, 5}, 40)
	random := rand.New(rand.NewPCG(seed, 2))
	now := startTime
	tickets := make([]*Ticket[int], steps)
	var running []*Ticket[int]
	note := func(format string, args ...any) { decisions = append(decisions, fmt.Sprintf(format, args...)) }
	for i := range steps {
		if atStep != nil {
			atStep(i)
		}
		now = now.Add(time.Duration(random.Int64N(int64(2 * time.Millisecond))))
		session, kind := random.IntN(12), random.IntN(6)
		ticket := &Ticket[int]{Value: i, Class: Class{
			Rank: model.Rank(kind/2 + 1), Kind: model.KindID(rune('a' + kind)), Session: model.SessionID(rune('a' + session)),
			Floor: model.Percent(10 * (kind % 2)), InTransaction: random.IntN(10) == 0, Tenant: tenantOf(session),
		}}
		if random.IntN(3) > 0 {
			ticket.Deadline = now.Add(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
		}
		tickets[i] = ticket
		verdict, evicted, evictedVerdict := q.Offer(now, ticket)
		note("offer %d %d", i, verdict)
		if evicted != nil {
			note("evict %d %d", evicted.Value, evictedVerdict)
		}
		if random.IntN(20) == 0 {
			j := random.IntN(i + 1)
			note("withdraw %d %v", j, q.Withdraw(now, tickets[j]))
		}
		if random.IntN(50) == 0 {
			now = now.Add(400 * time.Millisecond) // a standing queue ends or ages
		}
		for len(running) < 3 {
			next, verdict := q.Next(now, Eligible(random.IntN(8)/7))
			if next == nil {
				break
			}
			note("next %d %d", next.Value, verdict)
			if verdict == Run {
				running = append(running, next)
			}
		}
		if len(running) > 0 && random.IntN(4) > 0 {
			if random.IntN(10) == 0 {
				q.Cancel(running[0])
			} else {
				q.Finish(now, running[0], time.Duration(random.Int64N(int64(20*time.Millisecond))))
			}
			running = running[1:]
		}
	}
	return decisions, q
}

// digestOf returns a digest of decisions.
func digestOf(decisions []string) uint64 {
	digest := fnv.New64a()
	for _, decision := range decisions {
		fmt.Fprintln(digest, decision)
	}
	return digest.Sum64()
}

// TestDecisionsWithoutTenants guards against an order or evictions that change for deployments without tenants: the digests are those of
// the decisions made before tenants had queues (commit b45e32c).
func TestDecisionsWithoutTenants(t *testing.T) {
	tests := map[string]struct {
		seed uint64
		want uint64
	}{
		"first":  {seed: 0, want: 0xb2c58aef9e2561b},
		"second": {seed: 1, want: 0x4fb81d5b73be0679},
		"third":  {seed: 2, want: 0x782419506acb0c03},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			decisions, _ := decisionTrace(NewFairShare[int](), test.seed, func(int) model.TenantID { return "" }, nil)
			if got := digestOf(decisions); got != test.want {
				t.Errorf("got decisions with the digest %#x, want %#x", got, test.want)
			}
		})
	}
}

// TestEachTicketIsDecidedOnce guards against work that is lost, served twice or left in the queue where tenants, sessions and weights
// change.
func TestEachTicketIsDecidedOnce(t *testing.T) {
	tests := map[string]struct {
		seed     uint64
		tenants  int  // sessions are spread over them
		weighted bool // weights are set, and change every 100 offers
	}{
		"one tenant":               {seed: 1, tenants: 1, weighted: true},
		"five tenants":             {seed: 2, tenants: 5, weighted: true},
		"a tenant for each":        {seed: 3, tenants: 12, weighted: true},
		"tenants without a weight": {seed: 4, tenants: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			policy := NewFairShare[int]()
			changeWeights := func(step int) {
				if test.weighted && step%100 == 0 {
					policy.SetWeights(weightsOf(map[model.TenantID]model.Rate{"t0": model.Rate(step%7 + 1), "t1": 3, "t2": model.Rate(step % 300)}))
				}
			}
			tenantOf := func(session int) model.TenantID { return model.TenantID(fmt.Sprint("t", session%test.tenants)) }
			decisions, q := decisionTrace(policy, test.seed, tenantOf, changeWeights)
			waiting := make(map[int]bool)
			for _, decision := range decisions {
				var what, verdict string
				var ticket int
				if _, err := fmt.Sscan(decision, &what, &ticket, &verdict); err != nil {
					t.Fatal(err)
				}
				switch {
				case what == "offer":
					waiting[ticket] = verdict == fmt.Sprint(Wait)
				case what == "withdraw" && verdict == "false":
				case !waiting[ticket]:
					t.Fatalf("got %q of a ticket that does not wait", decision)
				default:
					delete(waiting, ticket)
				}
			}
			for q.Len() > 0 {
				ticket, _ := q.Next(startTime.Add(time.Hour), EligibleAny)
				if ticket == nil || !waiting[ticket.Value] {
					t.Fatalf("got ticket %v at the end, want one of those that wait", ticket)
				}
				delete(waiting, ticket.Value)
			}
			for ticket, waits := range waiting {
				if waits {
					t.Errorf("ticket %d was never decided", ticket)
				}
			}
		})
	}
}
