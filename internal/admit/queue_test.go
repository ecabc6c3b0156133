package admit

import (
	"slices"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// start is the time at which each test starts.
var start = time.Unix(1_000_000, 0)

// newQueue returns a queue with the policy and floors.
func newQueue(policy Policy[int], floors [model.Ranks]model.Percent, limit int) *Queue[int] {
	policy.SetFloors(floors)
	return &Queue[int]{Policy: policy, Limit: limit, ServiceTimes: NewServiceTimes()}
}

// flood is one kind of work that always waits with a full queue.
type flood struct {
	class Class
	depth int
}

// serve lets each flood keep its depth while the given number of slot times pass, and returns the turns of each.
func serve(q *Queue[int], floods []flood, turns int) []int {
	const slot = time.Millisecond
	got := make([]int, len(floods))
	waiting := make([]int, len(floods))
	now := start
	for range turns {
		for i, f := range floods {
			for range f.depth - waiting[i] {
				verdict, out, _ := q.Offer(now, &Ticket[int]{Class: f.class, Value: i})
				if verdict == Wait {
					waiting[i]++
				}
				if out != nil {
					waiting[out.Value]--
				}
			}
		}
		ticket, _ := q.Next(now, EligibleAny)
		waiting[ticket.Value]--
		got[ticket.Value]++
		now = now.Add(slot)
		q.Finish(now, ticket, slot)
	}
	return got
}

func TestShares(t *testing.T) {
	floors := [model.Ranks]model.Percent{0, 20, 5}
	tests := map[string]struct {
		policy Policy[int]
		floods []flood
		want   []int // turns of a thousand, give or take three
	}{
		"floors keep each rank its share": {
			policy: NewFairShare[int](),
			floods: []flood{{Class{Rank: 1, Kind: "pay"}, 50}, {Class{Rank: 2, Kind: "read"}, 5}, {Class{Rank: 3, Kind: "report"}, 5}},
			want:   []int{750, 200, 50},
		},
		"strict priority starves the others": {
			policy: NewStrictPriority[int](),
			floods: []flood{{Class{Rank: 1, Kind: "pay"}, 50}, {Class{Rank: 2, Kind: "read"}, 5}, {Class{Rank: 3, Kind: "report"}, 5}},
			want:   []int{1000, 0, 0},
		},
		"order of arrival gives each its share of the queue": {
			policy: NewFIFO[int](),
			floods: []flood{{Class{Rank: 1, Kind: "pay"}, 10}, {Class{Rank: 2, Kind: "read"}, 10}, {Class{Rank: 3, Kind: "report"}, 20}},
			want:   []int{250, 250, 500},
		},
		"what a rank leaves goes to the next": {
			policy: NewFairShare[int](),
			floods: []flood{{Class{Rank: 2, Kind: "read"}, 5}, {Class{Rank: 3, Kind: "report"}, 50}},
			want:   []int{950, 50},
		},
		"kinds without floors share alike": {
			policy: NewFairShare[int](),
			floods: []flood{{Class{Rank: 1, Kind: "pay"}, 100}, {Class{Rank: 1, Kind: "checkout"}, 2}},
			want:   []int{500, 500},
		},
		"a kind's floor comes before its equal share": {
			policy: NewFairShare[int](),
			floods: []flood{{Class{Rank: 1, Kind: "pay", Floor: 60}, 2}, {Class{Rank: 1, Kind: "checkout"}, 100}},
			want:   []int{800, 200},
		},
		"sessions share a kind alike": {
			policy: NewFairShare[int](),
			floods: []flood{{Class{Rank: 1, Kind: "pay", Session: "a"}, 100}, {Class{Rank: 1, Kind: "pay", Session: "b"}, 2}},
			want:   []int{500, 500},
		},
		"a full queue keeps each rank its places": {
			policy: NewFairShare[int](),
			floods: []flood{{Class{Rank: 1, Kind: "pay"}, 100}, {Class{Rank: 2, Kind: "read"}, 100}, {Class{Rank: 3, Kind: "report"}, 100}},
			want:   []int{750, 200, 50},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := serve(newQueue(test.policy, floors, 200), test.floods, 1000)
			for i := range got {
				if got[i] < test.want[i]-3 || got[i] > test.want[i]+3 {
					t.Fatalf("got turns %v, want %v", got, test.want)
				}
			}
		})
	}
}

func TestOrder(t *testing.T) {
	pay := Class{Rank: 1, Kind: "pay"}
	tests := map[string]struct {
		offers []Class
		age    time.Duration // time between the offers and the turns
		room   Eligible
		want   []int
	}{
		"arrival within a session":               {offers: []Class{pay, pay, pay}, want: []int{0, 1, 2}},
		"newest first in a standing queue":       {offers: []Class{pay, pay, pay}, age: time.Second, want: []int{2, 1, 0}},
		"rank before arrival":                    {offers: []Class{{Rank: 3}, {Rank: 2}, pay}, want: []int{2, 1, 0}},
		"begun transactions first":               {offers: []Class{pay, {Rank: 1, Kind: "pay", InTransaction: true}}, want: []int{1, 0}},
		"begun transactions not before rank":     {offers: []Class{pay, {Rank: 2, InTransaction: true}}, want: []int{0, 1}},
		"only transactions without a connection": {offers: []Class{pay, {Rank: 2, InTransaction: true}}, room: EligibleTransactions, want: []int{1}},
		"sessions take turns": {
			offers: []Class{{Rank: 1, Session: "a"}, {Rank: 1, Session: "a"}, {Rank: 1, Session: "b"}},
			want:   []int{0, 2, 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := newQueue(NewFairShare[int](), [model.Ranks]model.Percent{}, 10)
			for i, class := range test.offers {
				q.Offer(start, &Ticket[int]{Class: class, Value: i})
			}
			var got []int
			for {
				ticket, _ := q.Next(start.Add(test.age), test.room)
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

func TestSlowWorkIsProbed(t *testing.T) {
	tests := map[string]struct {
		after time.Duration // since the last slow answer
		want  Verdict
	}{
		"refused while known to be slow": {after: 0, want: Late},
		"let through as a probe":         {after: 6 * time.Second, want: Wait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := newQueue(NewFairShare[int](), [model.Ranks]model.Percent{}, 10)
			q.ServiceTimes.Observe(start, "pay", 5*time.Second)
			now := start.Add(test.after)
			got, _, _ := q.Offer(now, &Ticket[int]{Class: Class{Rank: 1, Kind: "pay"}, Deadline: now.Add(200 * time.Millisecond)})
			if got != test.want {
				t.Errorf("got verdict %d, want %d", got, test.want)
			}
		})
	}
}
