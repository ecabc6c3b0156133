package allowance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// hostsNamed returns a number of hosts, h0 first.
func hostsNamed(count int) (hosts []Host) {
	for i := range count {
		hosts = append(hosts, Host{ID: model.HostID(fmt.Sprint("h", i))})
	}
	return hosts
}

// bookOf returns the book of a host that hears all hosts, at the start and a second later.
func bookOf(self Host, hosts []Host, limit Limit) *Book[int] {
	b := New[int](self, 7, 0)
	b.Tolerance = tolerance
	b.SetHosts(0, hosts, hosts)
	b.SetLimits(0, map[model.TenantID]Limit{tenantID: limit})
	b.SetHosts(model.Instant(second), hosts, hosts)
	return b
}

// TestOneHost guards against limits outside the usual range, in a fleet of one host that keeps all parts.
func TestOneHost(t *testing.T) {
	tests := map[string]struct {
		limit       Limit
		least, most int // operations that run at once after a pause
	}{
		"usual":                  {Limit{100, 100}, 60, 75},
		"a rate of a million":    {Limit{1e6, 1e6}, 600_000, 750_000},
		"a rate below one":       {Limit{0.2, 2}, 1, 2},
		"a burst below one":      {Limit{5, 0.5}, 1, 1},
		"a rate of zero":         {Limit{0, 10}, 0, 0},
		"a burst of zero":        {Limit{10, 0}, 0, 0},
		"not a number":           {Limit{model.Rate(math.NaN()), 10}, 0, 0},
		"negative":               {Limit{-1, -1}, 0, 0},
		"infinite":               {Limit{model.Rate(math.Inf(1)), model.Operations(math.Inf(1))}, 2_000_000, 2_000_000},
		"burst far above a rate": {Limit{1, 500}, 390, 500},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := bookOf(Host{ID: "h0"}, hostsNamed(1), test.limit)
			got, now := 0, model.Instant(600*second)
			keepHearing(b, 0, now)
			after := time.Duration(0)
			for range 2_000_000 {
				verdict, retry := b.Spend(now, tenantID, model.RankThree, now, nil)
				if verdict == Refused {
					after = retry
					break
				}
				got++
			}
			if got < test.least || got > test.most {
				t.Errorf("got %d operations, want %d to %d", got, test.least, test.most)
			}
			if test.most == 0 || got == 2_000_000 {
				return
			}
			early, then := now.Add(after-10*time.Microsecond), now.Add(after)
			keepHearing(b, now, early)
			if verdict, _ := b.Spend(early, tenantID, model.RankThree, early, nil); verdict != Refused {
				t.Errorf("got %v before the time of the refusal, want %v", verdict, Refused)
			}
			if verdict, _ := b.Spend(then, tenantID, model.RankThree, then, nil); verdict != Spent {
				t.Errorf("got %v %v after the refusal, want %v", verdict, after, Spent)
			}
		})
	}
}

// TestGrants guards against tokens of a host whose row may have been deleted, and against numbers in questions.
func TestGrants(t *testing.T) {
	const late = model.Instant(100 * second)
	hosts := hostsNamed(1)
	goesOn := func(b *Book[int]) { keepHearing(b, 0, late) }
	one, many := Ask{Tenant: tenantID, Rank: 1, Count: 1}, Ask{Tenant: tenantID, Rank: 1, Count: 500}
	tests := map[string]struct {
		prepare func(b *Book[int])
		ask     Ask
		want    int
	}{
		"heard just now":      {goesOn, one, 1},
		"the burst is left":   {goesOn, many, 104},
		"suspended shortly":   {func(b *Book[int]) { keepHearing(b, 0, late.Add(-40*second)) }, many, 104},
		"suspended for long":  {func(b *Book[int]) { keepHearing(b, 0, late.Add(-50*second)) }, one, 0},
		"just resumed":        {func(b *Book[int]) { b.SetHosts(late, hosts, hosts) }, many, 8},
		"a minority":          {func(b *Book[int]) { hearMinority(b, late.Add(-40*second), late) }, many, 39},
		"a minority for long": {func(b *Book[int]) { hearMinority(b, late.Add(-50*second), late) }, one, 0},
		"a minority for long, covered": {func(b *Book[int]) {
			b.SetLimits(0, map[model.TenantID]Limit{tenantID: {1, 8}})
			hearMinority(b, late.Add(-50*second), late)
		}, many, 1},
		"its row is gone": {func(b *Book[int]) { b.SetHosts(late, hostsNamed(2)[1:], hostsNamed(2)[1:]) }, one, 0},
		"its row is made again": {func(b *Book[int]) {
			keepHearing(b, 0, late)
			b.SetHosts(late, hostsNamed(2)[1:], hostsNamed(2)[1:])
			b.SetHosts(late, hosts, hosts)
		}, many, 8},
		"just started": {func(b *Book[int]) {
			*b = *New[int](hosts[0], 7, late.Add(-second/2))
			b.Tolerance = tolerance
			b.SetLimits(late, map[model.TenantID]Limit{tenantID: {100, 134}})
			b.SetHosts(late, hosts, hosts)
		}, many, 56},
		"a negative count":         {goesOn, Ask{Tenant: tenantID, Rank: 1, Count: -5}, 0},
		"asked for a vote":         {goesOn, Ask{Tenant: tenantID, Rank: 1}, 0},
		"an unknown rank":          {goesOn, Ask{Tenant: tenantID, Rank: 0, Count: 500}, 88},
		"a reserve for the urgent": {goesOn, Ask{Tenant: tenantID, Rank: 3, Count: 500}, 88},
		"an unlimited tenant":      {goesOn, Ask{Tenant: "other", Rank: 1, Count: 5}, 5},
		"the limit is lowered":     {func(b *Book[int]) { goesOn(b); lower(b, late) }, many, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := bookOf(hosts[0], hosts, Limit{100, 134}) // 8 parts of 13.6 tokens
			test.prepare(b)
			answer := b.Answer(late, Question{From: "h9", Sequence: 3, Parts: []Ask{test.ask}})
			if got := answer.Parts[0].Granted; got != test.want || answer.Sequence != 3 {
				t.Errorf("got %+v, want %d", answer, test.want)
			}
		})
	}
}

// hearMinority lets the host h0 hear one of three hosts between two times, and a majority before.
func hearMinority(b *Book[int], at, until model.Instant) {
	b.SetHosts(at, hostsNamed(3), hostsNamed(3))
	for ; at < until; at = at.Add(second) {
		b.SetHosts(at+1, hostsNamed(1), hostsNamed(3))
	}
}

// keepHearing calls SetHosts often enough between two times.
func keepHearing(b *Book[int], at, until model.Instant) {
	for ; at < until; at = at.Add(second) {
		b.SetHosts(at, hostsNamed(1), hostsNamed(1))
	}
	b.SetHosts(until, hostsNamed(1), hostsNamed(1))
}

// lower lowers the limit.
func lower(b *Book[int], now model.Instant) {
	b.SetLimits(now, map[model.TenantID]Limit{tenantID: {1, 4.25}})
}

// TestAnswers guards against tokens counted twice or after their validity, and against grants above what was asked.
func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		after  time.Duration
		change func(*Answer)
		times  int
		want   int // operations that run
	}{
		"in time":               {20 * time.Millisecond, func(*Answer) {}, 1, 3},
		"after the timeout":     {200 * time.Millisecond, func(*Answer) {}, 1, 3},
		"after the validity":    {250 * time.Millisecond, func(*Answer) {}, 1, 0},
		"twice":                 {20 * time.Millisecond, func(*Answer) {}, 2, 3},
		"of another host":       {20 * time.Millisecond, func(a *Answer) { a.From = "h8" }, 1, 0},
		"of an earlier life":    {20 * time.Millisecond, func(a *Answer) { a.Sequence -= 8 }, 1, 0},
		"more than was asked":   {20 * time.Millisecond, func(a *Answer) { a.Parts[0].Granted = 1 << 40 }, 1, 3},
		"less than nothing":     {20 * time.Millisecond, func(a *Answer) { a.Parts[0].Granted = -3 }, 1, 0},
		"without the tenant":    {20 * time.Millisecond, func(a *Answer) { a.Parts = nil }, 1, 0},
		"with an endless delay": {20 * time.Millisecond, func(a *Answer) { a.Parts[0] = Grant{tenantID, 2, 1, math.MaxInt64} }, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			hosts, now := hostsNamed(2), model.Instant(second)
			b := bookOf(hosts[0], hosts, Limit{1, 4})
			b.tenants[tenantID].own = nil // all parts are kept by the other host
			b.SetHosts(now, append(hosts, Host{ID: "h2"}), append(hostsNamed(2), Host{ID: "h2"}))
			b.tenants[tenantID].own, b.tenants[tenantID].owners = nil, []*owner{{host: "h1"}}
			ranks := []model.Rank{2, 2, 2}
			for _, rank := range ranks {
				if verdict, _ := b.Spend(now, tenantID, rank, now.Add(5*second), &Waiter[int]{}); verdict != Waiting {
					t.Fatalf("got %v, want %v", verdict, Waiting)
				}
			}
			questions, _ := b.Due(now)
			if len(questions) != 1 || questions[0].Question.Parts[0].Count != 3 {
				t.Fatalf("got %+v, want one question for 3 tokens", questions)
			}
			b.Due(now.Add(min(test.after, validity-1)))
			answer := Answer{From: "h1", Sequence: questions[0].Question.Sequence, Parts: []Grant{{tenantID, 2, 3, 0}}}
			test.change(&answer)
			got := 0
			for range test.times {
				got += len(b.Accept(now.Add(test.after), answer))
			}
			if got != test.want {
				t.Errorf("got %d operations, want %d", got, test.want)
			}
		})
	}
}

// TestOrder guards against operations served out of order, after Cancel, or kept beyond the limit of a tenant's queue.
func TestOrder(t *testing.T) {
	hosts, now := hostsNamed(1), model.Instant(second)
	b := bookOf(hosts[0], hosts, Limit{1, 1})
	b.Spend(now, tenantID, 1, now, nil)
	var waiters []*Waiter[int]
	for i, rank := range []model.Rank{3, 1, 2, 1, 2} {
		waiters = append(waiters, &Waiter[int]{Value: i})
		b.Spend(now, tenantID, rank, now.Add(20*second), waiters[i])
	}
	b.Cancel(waiters[3])
	b.Cancel(waiters[3])
	var got []int
	for at, due := b.Next(); due; at, due = b.Next() {
		if at < now {
			t.Fatalf("got %v after %v, want the time to go on", at, now)
		}
		now = at
		b.SetHosts(now, hosts, hosts)
		_, decisions := b.Due(now)
		for _, d := range decisions {
			got = append(got, d.Waiter.Value)
		}
	}
	if want := fmt.Sprint([]int{1, 2, 4, 0}); fmt.Sprint(got) != want {
		t.Errorf("got %v, want %v", got, want)
	}
	b.SetHosts(now, hosts, hostsNamed(5)) // a minority, so that all operations wait
	for range maxWaiting {
		b.Spend(now, tenantID, 2, now.Add(second), &Waiter[int]{})
	}
	if verdict, _ := b.Spend(now, tenantID, 2, now.Add(second), &Waiter[int]{}); verdict != Refused {
		t.Errorf("got %v for an operation too many, want %v", verdict, Refused)
	}
	b.SetLimits(now, nil)
	if _, decisions := b.Due(now); len(decisions) != maxWaiting || !decisions[0].Spent {
		t.Errorf("got %d decisions, want %d to run without a limit", len(decisions), maxWaiting)
	}
}

// TestQuestionsFitDatagrams guards against questions that are fragmented on their way.
func TestQuestionsFitDatagrams(t *testing.T) {
	hosts, now := hostsNamed(2), model.Instant(second)
	b := bookOf(hosts[0], hosts, Limit{})
	limits := make(map[model.TenantID]Limit)
	for i := range 80 {
		limits[model.TenantID(fmt.Sprint("tenant-", i))] = Limit{1, 1}
	}
	b.SetLimits(now, limits)
	waiting, asks := 0, 0
	for id := range limits {
		for range 2 { // the first one may find a token here
			if verdict, _ := b.Spend(now, id, 2, now.Add(second), &Waiter[int]{}); verdict == Waiting {
				waiting++
			}
		}
	}
	questions, _ := b.Due(now)
	for _, q := range questions {
		asks += len(q.Question.Parts)
		if got := questionSizeOf("h0", q.Question.Parts); got > questionSize {
			t.Errorf("got %d bytes, want at most %d", got, questionSize)
		}
	}
	if len(questions) < 3 || asks == 0 || waiting == 0 {
		t.Errorf("got %d questions with %d asks for %d operations, want several", len(questions), asks, waiting)
	}
}

func BenchmarkSpend(b *testing.B) {
	hosts := hostsNamed(33)
	tests := map[string]struct {
		hosts []Host
		held  bool
	}{
		"all parts kept here": {hosts: hosts[:1]},
		"one part kept here":  {hosts: hosts},
		"a token held":        {hosts: hosts, held: true},
	}
	for name, test := range tests {
		b.Run(name, func(b *testing.B) {
			self := hashOrder(tenantID, test.hosts)[0]
			book := bookOf(self, test.hosts, Limit{1e9, 1e9})
			now := model.Instant(second)
			if test.held {
				book.tenants[tenantID].held = []batch{{tokens: math.MaxInt, expires: math.MaxInt64}}
			}
			b.ReportAllocs()
			for b.Loop() {
				now++
				if now%model.Instant(second) == 0 {
					book.majorityAt = now
				}
				if verdict, _ := book.Spend(now, tenantID, model.RankTwo, now, nil); verdict != Spent {
					b.Fatalf("got %v, want %v", verdict, Spent)
				}
			}
		})
	}
}
