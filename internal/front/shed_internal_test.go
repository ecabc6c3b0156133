package front

import (
	"cmp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"redwingspread/internal/budget"
	"redwingspread/internal/model"
	"redwingspread/internal/settings"
)

// stalledCaller is a caller that has owed the rest of a message for a time; zero for one that owes nothing.
type stalledCaller struct {
	Caller // nil; the other methods are not used
	since  time.Time
	closed bool
}

func (c *stalledCaller) StalledSince() (time.Time, bool) { return c.since, !c.since.IsZero() }
func (c *stalledCaller) Close() error                    { c.closed = true; return nil }

// newShedHost returns a host with sessions whose callers have been in the middle of a message for the given times.
func newShedHost(stalled []time.Duration) (*Host, []*stalledCaller) {
	h := New()
	h.Logger = &log.Logger{Handler: memory.New(), Level: log.InfoLevel}
	callers := make([]*stalledCaller, len(stalled))
	for i, ago := range stalled {
		callers[i] = &stalledCaller{}
		if ago > 0 {
			callers[i].since = time.Now().Add(-ago)
		}
		h.addSession(&callerSession{host: h, caller: callers[i]})
	}
	return h, callers
}

// TestMakeRoom guards against a host full of stalled connections that takes no new one, and against the end of well-behaved sessions in
// favour of new ones.
func TestMakeRoom(t *testing.T) {
	tests := map[string]struct {
		stalled []time.Duration
		atLeast time.Duration
		want    []bool // by call
		closed  []int  // indexes of the closed sessions
	}{
		"no session":           {want: []bool{false}},
		"all idle":             {stalled: []time.Duration{0, 0}, want: []bool{false}},
		"one stalled":          {stalled: []time.Duration{0, time.Second}, want: []bool{true, false}, closed: []int{1}},
		"the longest first":    {stalled: []time.Duration{time.Second, time.Minute, 2 * time.Second}, want: []bool{true, true}, closed: []int{1, 2}},
		"none for long enough": {stalled: []time.Duration{time.Second}, atLeast: time.Minute, want: []bool{false}},
		"some for long enough": {stalled: []time.Duration{time.Second, time.Hour}, atLeast: time.Minute, want: []bool{true, false}, closed: []int{1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, callers := newShedHost(test.stalled)
			for i, want := range test.want {
				if got := h.makeRoom(test.atLeast); got != want {
					t.Errorf("got %v from call %d, want %v", got, i, want)
				}
			}
			var closed []int
			for i, caller := range callers {
				if caller.closed {
					closed = append(closed, i)
				}
			}
			if !slices.Equal(closed, test.closed) {
				t.Errorf("got sessions %v closed, want %v", closed, test.closed)
			}
		})
	}
}

// TestSessionAdmission guards against connections that are refused below the limit, and against a search through all sessions for each
// connection of a flood.
func TestSessionAdmission(t *testing.T) {
	tests := map[string]struct {
		stalled []time.Duration
		open    []int
		want    []bool
	}{
		"below the limit":            {open: []int{1, 2}, want: []bool{true, true}},
		"at the limit, none stalled": {stalled: []time.Duration{0, 0}, open: []int{3, 3}, want: []bool{false, false}},
		"at the limit, one stalled":  {stalled: []time.Duration{0, time.Second}, open: []int{3, 3}, want: []bool{true, false}},
		"below it again":             {stalled: []time.Duration{0, 0}, open: []int{3, 2}, want: []bool{false, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, _ := newShedHost(test.stalled)
			admission := sessionAdmission{host: h, limit: 2}
			for i, open := range test.open {
				if got := admission.admit(open); got != test.want[i] {
					t.Errorf("got %v for connection %d, want %v", got, i, test.want[i])
				}
			}
			if got, want := admission.fullUntil.IsZero(), !slices.Contains(test.want, false); got != want {
				t.Errorf("got no pause in the search %v, want %v", got, want)
			}
		})
	}
}

// TestShedStalled guards against half-sent messages that keep the memory from others for ever.
func TestShedStalled(t *testing.T) {
	tests := map[string]struct {
		refused bool
		want    bool
	}{
		"memory refused":    {refused: true, want: true},
		"no memory refused": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, callers := newShedHost([]time.Duration{2 * stalledLimit})
			h.Memory = budget.New()
			if test.refused {
				var a budget.Account
				a.Init(h.Memory, budget.Messages, 0)
				_ = a.Resize(1) // refused, since the budget is empty
			}
			h.shedStalled()
			if got := callers[0].closed; got != test.want {
				t.Errorf("got the stalled session closed %v, want %v", got, test.want)
			}
		})
	}
}

// TestLimitsFromSettings guards against sessions that take the descriptors of instances, hosts and the store, and against a change for
// deployments without the setting.
func TestLimitsFromSettings(t *testing.T) {
	tests := map[string]struct {
		memory                      model.Mebibytes // 256 unless it is set
		descriptors, sessions       int
		wantSessions, wantListeners int
	}{
		"no descriptors set":           {sessions: 4096, wantSessions: 4096, wantListeners: 64},
		"little memory":                {memory: 64, sessions: 4096, wantSessions: 1310, wantListeners: 64},
		"smallest machine":             {memory: 184, descriptors: 4400, sessions: 4096, wantSessions: 3768, wantListeners: 64},
		"few descriptors, much memory": {descriptors: 4400, sessions: 4096, wantSessions: 3888, wantListeners: 64},
		"more than sessions need":      {descriptors: 8192, sessions: 4096, wantSessions: 4096, wantListeners: 64},
		"few descriptors":              {descriptors: 256, sessions: 4096, wantSessions: 128, wantListeners: 16},
		"few sessions, descriptors":    {descriptors: 256, sessions: 100, wantSessions: 100, wantListeners: 16},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := New()
			h.Settings = settings.Front{Memory: cmp.Or(test.memory, 256), Descriptors: test.descriptors, SessionLimit: test.sessions}
			if got := h.sessionLimit(); got != test.wantSessions {
				t.Errorf("got %d sessions, want %d", got, test.wantSessions)
			}
			if got := h.listenerLimit(); got != test.wantListeners {
				t.Errorf("got %d connections of a listener, want %d", got, test.wantListeners)
			}
		})
	}
}

// TestMemoryMetrics guards against refusals that an operator can't see.
func TestMemoryMetrics(t *testing.T) {
	h := New()
	h.Memory = NewBudget(settings.Front{Memory: 64}, &log.Logger{Handler: memory.New(), Level: log.InfoLevel})
	var a budget.Account
	a.Init(h.Memory, budget.State, 0)
	if refusal := a.Resize(model.Bytes(1 << 30)); refusal == nil {
		t.Error("got no refusal, want one")
	}
	var out strings.Builder
	if err := h.writeMemory(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"memory_limit_bytes 13421772\n", "memory_refused{use=\"state\"} 1\n", "memory_refused{use=\"messages\"} 0\n"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got %q, want it to contain %q", out.String(), want)
		}
	}
}
