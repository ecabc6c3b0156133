package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingspread/internal/model"
)

// init makes the random runs long and the same each time; flags of the command line go before it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "150", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// start is the time at which each test starts.
var start = time.Unix(1_000_000, 0)

// world is an owner and its borrowers, with messages that may be lost, late, doubled and out of order.
type world struct {
	now       time.Time
	lender    *Lender
	borrowers []*Borrower
	asks      []Ask
	grants    []message
	runs      model.Incarnation
}

// message is a grant on its way to a borrower.
type message struct {
	to    Holder
	grant Grant
}

// newWorld returns an owner of an instance and its borrowers.
func newWorld(limit Amount, hosts int) *world {
	w := &world{now: start, lender: NewLender()}
	w.lender.Limit = limit
	w.lender.Term = 1
	w.lender.Start = start.Add(-time.Hour)
	for i := range hosts {
		w.borrowers = append(w.borrowers, &Borrower{Holder: Holder{Host: model.HostID(fmt.Sprint(i))}})
	}
	return w
}

// used returns what all borrowers may use now.
func (w *world) used() Amount {
	var sum Amount
	for _, b := range w.borrowers {
		sum = sum.plus(b.Amount(w.now))
	}
	return sum
}

// deliver hands the ask to the owner, and its answer to the messages under way.
func (w *world) deliver(ask Ask) {
	if grant, answered := w.lender.Handle(w.now, ask); answered {
		w.grants = append(w.grants, message{ask.Holder, grant})
	}
}

// receive hands a message to its borrower, unless that has gone.
func (w *world) receive(m message) {
	for _, b := range w.borrowers {
		if b.Holder == m.to {
			b.Take(m.grant)
		}
	}
}

// takeOver puts a new owner in the place of the old one, whose messages may still arrive.
func (w *world) takeOver() {
	next := NewLender()
	next.Limit = w.lender.Limit
	next.Term = w.lender.Term + 1
	next.Start = w.now
	w.lender = next
}

func TestSumStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Amount{Slots: 5, Connections: 55}
		w := newWorld(limit, rapid.IntRange(2, 4).Draw(t, "hosts"))
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				b := rapid.SampledFrom(w.borrowers).Draw(t, "borrower")
				wanted := Amount{Slots: model.Slots(rapid.IntRange(0, 6).Draw(t, "wanted"))}
				w.asks = append(w.asks, b.Ask(w.now, b.Amount(w.now), wanted))
			},
			"deliver": func(t *rapid.T) {
				if len(w.asks) > 0 {
					w.deliver(rapid.SampledFrom(w.asks[max(len(w.asks)-3, 0):]).Draw(t, "ask"))
				}
			},
			"receive": func(t *rapid.T) {
				if len(w.grants) > 0 {
					w.receive(rapid.SampledFrom(w.grants[max(len(w.grants)-3, 0):]).Draw(t, "grant"))
				}
			},
			"exchange": func(t *rapid.T) {
				b := rapid.SampledFrom(w.borrowers).Draw(t, "borrower")
				w.deliver(b.Ask(w.now, b.Amount(w.now), Amount{Slots: model.Slots(rapid.IntRange(0, 6).Draw(t, "wanted"))}))
				w.receive(w.grants[len(w.grants)-1])
			},
			"ask, and the answer stays under way": func(t *rapid.T) {
				b := rapid.SampledFrom(w.borrowers).Draw(t, "borrower")
				w.deliver(b.Ask(w.now, b.Amount(w.now), Amount{Slots: model.Slots(rapid.IntRange(0, 6).Draw(t, "wanted"))}))
			},
			"lose": func(*rapid.T) { w.asks, w.grants = nil, nil },
			"restart": func(t *rapid.T) {
				b := rapid.SampledFrom(w.borrowers).Draw(t, "borrower")
				w.runs++
				*b = Borrower{Holder: Holder{b.Holder.Host, w.runs}}
			},
			"take over": func(*rapid.T) { w.takeOver() },
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if got := w.used(); got.Slots > limit.Slots || got.Connections > limit.Connections {
					t.Fatalf("got %+v in use, want at most %+v", got, limit)
				}
			},
		})
	})
}

func TestPermitsFollowDemand(t *testing.T) {
	tests := map[string]struct {
		limit  Amount
		split  Split
		wanted [4]model.Slots
		want   model.Slots // slots in use in the end, of the limit
	}{
		"even split, one busy host":            {limit: Amount{5, 55}, split: Even, wanted: [4]model.Slots{5, 0, 0, 0}, want: 1},
		"by demand, one busy host":             {limit: Amount{5, 55}, split: Demand, wanted: [4]model.Slots{5, 0, 0, 0}, want: 5},
		"even split, two busy hosts":           {limit: Amount{5, 55}, split: Even, wanted: [4]model.Slots{4, 4, 0, 0}, want: 2},
		"by demand, two busy hosts":            {limit: Amount{5, 55}, split: Demand, wanted: [4]model.Slots{4, 4, 0, 0}, want: 5},
		"even split, all busy":                 {limit: Amount{5, 55}, split: Even, wanted: [4]model.Slots{5, 5, 5, 5}, want: 4},
		"by demand, all busy":                  {limit: Amount{5, 55}, split: Demand, wanted: [4]model.Slots{5, 5, 5, 5}, want: 5},
		"even split, fewer slots than hosts":   {limit: Amount{2, 15}, split: Even, wanted: [4]model.Slots{2, 2, 2, 2}, want: 0},
		"by demand, fewer slots than hosts":    {limit: Amount{2, 15}, split: Demand, wanted: [4]model.Slots{2, 2, 2, 2}, want: 2},
		"by demand, nobody wants what is left": {limit: Amount{5, 55}, split: Demand, wanted: [4]model.Slots{1, 1, 0, 0}, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(test.limit, 4)
			w.lender.Split = test.split
			for range 6 {
				for i, b := range w.borrowers {
					w.deliver(b.Ask(w.now, Amount{}, Amount{Slots: test.wanted[i]}))
					w.receive(w.grants[len(w.grants)-1])
				}
				w.now = w.now.Add(time.Second)
			}
			var got model.Slots
			for i, b := range w.borrowers {
				got += min(b.Amount(w.now.Add(-time.Second)).Slots, test.wanted[i])
			}
			if got != test.want {
				t.Errorf("got %d slots in use, want %d", got, test.want)
			}
		})
	}
}

func TestLostHostIsReplaced(t *testing.T) {
	w := newWorld(Amount{5, 55}, 2)
	lost, heir := w.borrowers[0], w.borrowers[1]
	w.deliver(lost.Ask(w.now, Amount{}, Amount{Slots: 5}))
	w.receive(w.grants[0])
	tests := map[string]struct {
		after time.Duration
		want  model.Slots
	}{
		"1: while its permit may last": {after: defaultLasts, want: 0},
		"2: once it has lapsed":        {after: defaultLasts + defaultMargin, want: 5},
	}
	for _, name := range []string{"1: while its permit may last", "2: once it has lapsed"} {
		test := tests[name]
		t.Run(name, func(t *testing.T) {
			w.now = start.Add(test.after)
			w.deliver(heir.Ask(w.now, Amount{}, Amount{Slots: 5}))
			w.receive(w.grants[len(w.grants)-1])
			if got := heir.Amount(w.now).Slots; got != test.want {
				t.Errorf("got %d slots, want %d", got, test.want)
			}
		})
	}
}

func TestLateAnswers(t *testing.T) {
	tests := map[string]struct {
		asks  int // asks sent, two seconds apart, before the answer to the first arrives
		after time.Duration
		want  model.Slots
	}{
		"in time":                        {asks: 1, after: 2 * time.Second, want: 5},
		"lasts from the time of the ask": {asks: 1, after: defaultLasts, want: 0},
		"older than the newest ask":      {asks: 2, after: 2 * time.Second, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(Amount{5, 55}, 1)
			b := w.borrowers[0]
			w.deliver(b.Ask(w.now, Amount{}, Amount{Slots: 5}))
			for i := 1; i < test.asks; i++ {
				b.Ask(w.now.Add(time.Duration(i)*2*time.Second), Amount{}, Amount{Slots: 5})
			}
			w.receive(w.grants[0])
			if got := b.Amount(start.Add(test.after)).Slots; got != test.want {
				t.Errorf("got %d slots, want %d", got, test.want)
			}
		})
	}
}
