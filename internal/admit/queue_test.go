package admit

import (
	"slices"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// startTime is the time at which every test starts.
var startTime = time.Unix(1_000_000, 0)

// newQueue returns a queue with the policy and floors.
func newQueue(policy Policy[int], floors [model.RankCount]model.Percent, limit int) *Queue[int] {
	policy.SetFloors(floors)
	return &Queue[int]{Policy: policy, Limit: limit, ServiceTimes: NewServiceTimes()}
}

// workload is a class of work of which a number of tickets always waits.
type workload struct {
	class   Class
	waiting int // number of tickets to keep waiting
}

// countServed serves the given number of tickets, refilling the queue before each, and returns how many were served of
// each workload.
func countServed(q *Queue[int], workloads []workload, tickets int) []int {
	const slotTime = time.Millisecond
	served := make([]int, len(workloads))
	waiting := make([]int, len(workloads))
	now := startTime
	for range tickets {
		for i, w := range workloads {
			for range w.waiting - waiting[i] {
				verdict, evicted, _ := q.Offer(now, &Ticket[int]{Class: w.class, Value: i})
				if verdict == Wait {
					waiting[i]++
				}
				if evicted != nil {
					waiting[evicted.Value]--
				}
			}
		}
		ticket, _ := q.Next(now, EligibleAny)
		waiting[ticket.Value]--
		served[ticket.Value]++
		now = now.Add(slotTime)
		q.Finish(now, ticket, slotTime)
	}
	return served
}

func TestShareOfSlotTime(t *testing.T) {
	floors := [model.RankCount]model.Percent{0, 20, 5}
	tests := map[string]struct {
		policy    Policy[int]
		workloads []workload
		want      []int // tickets served out of a thousand, within three
	}{
		"FairShare: each rank gets its floor": {
			policy:    NewFairShare[int](),
			workloads: []workload{{Class{Rank: 1, Kind: "pay"}, 50}, {Class{Rank: 2, Kind: "read"}, 5}, {Class{Rank: 3, Kind: "report"}, 5}},
			want:      []int{750, 200, 50},
		},
		"StrictPriority: the most urgent rank starves the others": {
			policy:    NewStrictPriority[int](),
			workloads: []workload{{Class{Rank: 1, Kind: "pay"}, 50}, {Class{Rank: 2, Kind: "read"}, 5}, {Class{Rank: 3, Kind: "report"}, 5}},
			want:      []int{1000, 0, 0},
		},
		"FIFO: each rank gets its share of the queue": {
			policy:    NewFIFO[int](),
			workloads: []workload{{Class{Rank: 1, Kind: "pay"}, 10}, {Class{Rank: 2, Kind: "read"}, 10}, {Class{Rank: 3, Kind: "report"}, 20}},
			want:      []int{250, 250, 500},
		},
		"FairShare: capacity unused by a rank goes to the next one": {
			policy:    NewFairShare[int](),
			workloads: []workload{{Class{Rank: 2, Kind: "read"}, 5}, {Class{Rank: 3, Kind: "report"}, 50}},
			want:      []int{950, 50},
		},
		"FairShare: kinds without floors get equal shares": {
			policy:    NewFairShare[int](),
			workloads: []workload{{Class{Rank: 1, Kind: "pay"}, 100}, {Class{Rank: 1, Kind: "checkout"}, 2}},
			want:      []int{500, 500},
		},
		"FairShare: a kind gets its floor and an equal part of the rest": {
			policy:    NewFairShare[int](),
			workloads: []workload{{Class{Rank: 1, Kind: "pay", Floor: 60}, 2}, {Class{Rank: 1, Kind: "checkout"}, 100}},
			want:      []int{800, 200},
		},
		"FairShare: sessions of a kind get equal shares": {
			policy:    NewFairShare[int](),
			workloads: []workload{{Class{Rank: 1, Kind: "pay", Session: "a"}, 100}, {Class{Rank: 1, Kind: "pay", Session: "b"}, 2}},
			want:      []int{500, 500},
		},
		"FairShare: a full queue keeps the floor of each rank free for it": {
			policy:    NewFairShare[int](),
			workloads: []workload{{Class{Rank: 1, Kind: "pay"}, 100}, {Class{Rank: 2, Kind: "read"}, 100}, {Class{Rank: 3, Kind: "report"}, 100}},
			want:      []int{750, 200, 50},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := countServed(newQueue(test.policy, floors, 200), test.workloads, 1000)
			for i := range got {
				if got[i] < test.want[i]-3 || got[i] > test.want[i]+3 {
					t.Fatalf("got served %v, want %v", got, test.want)
				}
			}
		})
	}
}

func TestOrderOfService(t *testing.T) {
	pay := Class{Rank: 1, Kind: "pay"}
	tests := map[string]struct {
		offers   []Class
		age      time.Duration // time between the offers and the first ticket served
		eligible Eligible
		want     []int // indexes of the offers in the order in which they are served
	}{
		"oldest first within a session":                {offers: []Class{pay, pay, pay}, want: []int{0, 1, 2}},
		"newest first while there is a standing queue": {offers: []Class{pay, pay, pay}, age: time.Second, want: []int{2, 1, 0}},
		"urgent ranks first":                           {offers: []Class{{Rank: 3}, {Rank: 2}, pay}, want: []int{2, 1, 0}},
		"begun transactions first within a rank":       {offers: []Class{pay, {Rank: 1, Kind: "pay", InTransaction: true}}, want: []int{1, 0}},
		"urgent ranks before begun transactions":       {offers: []Class{pay, {Rank: 2, InTransaction: true}}, want: []int{0, 1}},
		"only begun transactions are eligible":         {offers: []Class{pay, {Rank: 2, InTransaction: true}}, eligible: EligibleTransactions, want: []int{1}},
		"sessions are served round-robin": {
			offers: []Class{{Rank: 1, Session: "a"}, {Rank: 1, Session: "a"}, {Rank: 1, Session: "b"}},
			want:   []int{0, 2, 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := newQueue(NewFairShare[int](), [model.RankCount]model.Percent{}, 10)
			for i, class := range test.offers {
				q.Offer(startTime, &Ticket[int]{Class: class, Value: i})
			}
			var got []int
			for {
				ticket, _ := q.Next(startTime.Add(test.age), test.eligible)
				if ticket == nil {
					break
				}
				got = append(got, ticket.Value)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got order %v, want %v", got, test.want)
			}
		})
	}
}

func TestSlowWorkIsProbedAgain(t *testing.T) {
	tests := map[string]struct {
		after time.Duration // time since the last slow answer
		want  Verdict
	}{
		"refused after a slow answer":        {after: 0, want: Late},
		"admitted once the mean has decayed": {after: 6 * time.Second, want: Wait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := newQueue(NewFairShare[int](), [model.RankCount]model.Percent{}, 10)
			q.ServiceTimes.Observe(startTime, "pay", 5*time.Second)
			now := startTime.Add(test.after)
			got, _, _ := q.Offer(now, &Ticket[int]{Class: Class{Rank: 1, Kind: "pay"}, Deadline: now.Add(200 * time.Millisecond)})
			if got != test.want {
				t.Errorf("got verdict %d, want %d", got, test.want)
			}
		})
	}
}
