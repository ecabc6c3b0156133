package budget

import (
	"sync"
	"testing"

	"redwingspread/internal/model"
)

// TestAccount guards against memory that is used without being counted, or counted without being given back.
func TestAccount(t *testing.T) {
	type step struct {
		account int
		size    model.Bytes // new size; -1 closes the account
		refused bool
	}
	tests := map[string]struct {
		steps []step
		used  model.Bytes // in the end
		peak  model.Bytes
	}{
		"within the reserves":              {steps: []step{{0, 16, false}, {1, 16, false}, {0, 1, false}}},
		"beyond the reserve":               {steps: []step{{0, 20, false}, {1, 30, false}}, used: 18, peak: 18},
		"exactly the limit":                {steps: []step{{0, 116, false}}, used: 100, peak: 100},
		"over the limit":                   {steps: []step{{0, 117, true}}},
		"over the limit together":          {steps: []step{{0, 76, false}, {1, 57, true}, {1, 56, false}}, used: 100, peak: 100},
		"a refused account keeps its size": {steps: []step{{0, 56, false}, {0, 200, true}}, used: 40, peak: 40},
		"smaller":                          {steps: []step{{0, 116, false}, {0, 26, false}, {1, 106, false}}, used: 100, peak: 100},
		"the reserve in a full budget":     {steps: []step{{0, 116, false}, {1, 16, false}, {1, 17, true}}, used: 100, peak: 100},
		"closed":                           {steps: []step{{0, 116, false}, {0, -1, false}, {1, 116, false}, {1, -1, false}}, peak: 100},
		"used after it was closed":         {steps: []step{{0, 50, false}, {0, -1, false}, {0, 50, true}, {0, -1, false}}, peak: 34},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New()
			b.Limit = 167 // of which messages may take 100
			var accounts [2]Account
			for i := range accounts {
				accounts[i].Init(b, Messages, 16)
			}
			refusals := int64(0)
			for i, s := range test.steps {
				if s.size < 0 {
					accounts[s.account].Close()
					continue
				}
				refusal := accounts[s.account].Resize(s.size)
				if got := refusal != nil; got != s.refused {
					t.Errorf("got refused %v at step %d, want %v", got, i, s.refused)
				}
				if refusal != nil && (refusal.Code != model.CodeOverloaded || !refusal.NotRun) {
					t.Errorf("got %+v, want overloaded and not run", refusal)
				}
				if s.refused && s.size != 50 { // a closed account does not ask the budget
					refusals++
				}
			}
			if got := b.Used(); got != test.used {
				t.Errorf("got %d bytes used, want %d", got, test.used)
			}
			if got := b.Peak(); got != test.peak {
				t.Errorf("got a peak of %d bytes, want %d", got, test.peak)
			}
			if got := b.Refusals(Messages); got != refusals {
				t.Errorf("got %d refusals, want %d", got, refusals)
			}
		})
	}
}

// TestShares guards against one kind of use that leaves no memory for the others.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		sizes [useCount]model.Bytes
		want  [useCount]bool // refused
	}{
		"each at its part":     {sizes: [useCount]model.Bytes{Messages: 60, State: 40}},
		"messages over":        {sizes: [useCount]model.Bytes{Messages: 61, Answers: 90}, want: [useCount]bool{Messages: true}},
		"answers over":         {sizes: [useCount]model.Bytes{Messages: 5, Answers: 91}, want: [useCount]bool{Answers: true}},
		"state over":           {sizes: [useCount]model.Bytes{State: 41, Answers: 90}, want: [useCount]bool{State: true}},
		"all together over":    {sizes: [useCount]model.Bytes{Messages: 60, Answers: 30, State: 11}, want: [useCount]bool{State: true}},
		"reserve beside":       {sizes: [useCount]model.Bytes{Messages: 60, State: 40, Reserve: 50}},
		"reserve over":         {sizes: [useCount]model.Bytes{Reserve: 51}, want: [useCount]bool{Reserve: true}},
		"connections over":     {sizes: [useCount]model.Bytes{Pool: 16}, want: [useCount]bool{Pool: true}},
		"connections and more": {sizes: [useCount]model.Bytes{Messages: 60, Answers: 25, Pool: 15}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New()
			b.Limit = 100
			for _, use := range Uses {
				var a Account
				a.Init(b, use, 0)
				if got := a.Resize(test.sizes[use]) != nil; got != test.want[use] {
					t.Errorf("got %v refused %v, want %v", use, got, test.want[use])
				}
			}
		})
	}
}

// TestConcurrentAccounts guards against a budget that is exceeded, or not whole again, after use by many holders at once.
func TestConcurrentAccounts(t *testing.T) {
	b := New()
	b.Limit = 1000
	var wait sync.WaitGroup
	for n := range 8 {
		wait.Go(func() {
			var a Account
			a.Init(b, Answers, 10)
			for i := range 2000 {
				_ = a.Resize(model.Bytes((i*37 + n*101) % 400)) // refusals are part of the test
			}
			a.Close()
		})
	}
	wait.Wait()
	if got := b.Peak(); got > b.Limit {
		t.Errorf("got a peak of %d bytes, want at most %d", got, b.Limit)
	}
	if got := b.Used(); got != 0 {
		t.Errorf("got %d bytes used in the end, want 0", got)
	}
}

// TestNoBudget guards against a limit where none is set.
func TestNoBudget(t *testing.T) {
	var a Account
	if refusal := a.Resize(1 << 40); refusal != nil {
		t.Errorf("got %v, want no refusal", refusal)
	}
	a.Close()
}

// BenchmarkSmallMessage guards against a cost of messages within the reserve.
func BenchmarkSmallMessage(b *testing.B) {
	budget := New()
	var a Account
	a.Init(budget, Messages, 16<<10)
	b.ReportAllocs()
	for b.Loop() {
		if a.Resize(3000) != nil || a.Resize(0) != nil {
			b.Fatal("got a refusal, want none")
		}
	}
}
