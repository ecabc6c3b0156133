package history_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/proxy"
	"redwingspread/internal/view"
)

// stage is one test of a fault: a system, its session and what its callers were told.
type stage struct {
	*system
	token string
	told  []string
}

// limit is the deadline of the requests in these tests.
const limit = 2 * time.Second

// said notes what a caller was told, and keeps its token.
func (s *stage) said(answer proxy.Answer, err error) {
	var refusal *model.Refusal
	var refused *proxy.RefusedError
	if errors.As(err, &refused) {
		s.token = refused.Token
	}
	switch {
	case err == nil && answer.Result.Repeated:
		s.told = append(s.told, "repeated")
	case err == nil:
		s.told = append(s.told, fmt.Sprint("done ", len(answer.Result.Rows)))
	case errors.As(err, &refusal) && refusal.NotRun:
		s.told = append(s.told, "not run: "+string(refusal.Code))
	default:
		s.told = append(s.told, "unknown")
	}
	if err == nil {
		s.token = answer.Token
	}
}

// request returns a request of the session.
func (s *stage) request(kind model.KindID, id model.RequestID) proxy.Request {
	return proxy.Request{
		ID: id, Database: "seats", Kind: kind, Operation: "list",
		Arguments: map[string]string{"list": roster.Name}, Token: s.token, Timeout: limit,
	}
}

// write writes under the request id.
func (s *stage) write(id model.RequestID) {
	s.said(s.proxy.Execute(context.Background(), s.request("registration", id)))
}

// read reads the list.
func (s *stage) read() { s.said(s.proxy.Execute(context.Background(), s.request("counter", "r"))) }

// outcome asks for the outcome of a request.
func (s *stage) outcome(id model.RequestID) {
	s.said(s.proxy.Outcome(context.Background(), s.request("", id)))
}

// begin begins a transaction and runs one write in it.
func (s *stage) begin() model.TransactionID {
	answer, err := s.proxy.Begin(context.Background(), s.request("registration", "t"))
	if err != nil {
		s.said(answer, err)
		return ""
	}
	s.within(answer.Result.Transaction)
	return answer.Result.Transaction
}

// within runs one write in the transaction.
func (s *stage) within(id model.TransactionID) {
	request := s.request("registration", "t-1")
	request.Transaction = id
	s.said(s.proxy.Execute(context.Background(), request))
}

// commit commits the transaction.
func (s *stage) commit(id model.TransactionID) {
	s.said(s.proxy.Commit(context.Background(), proxy.Request{ID: "t", Transaction: id, Token: s.token, Timeout: limit}))
}

// fault sets the faults of the group.
func (s *stage) fault(faults faults) {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	s.group.faults = faults
}

// healAfter clears the faults after the time.
func (s *stage) healAfter(delay time.Duration) {
	time.AfterFunc(delay, func() { s.fault(faults{}) })
}

// replicate lets the replicas copy what the primary wrote.
func (s *stage) replicate() {
	s.group.replicate(time.Now())
	s.observe()
}

// keepReplicating copies every few milliseconds until the returned function is called.
func (s *stage) keepReplicating() (stop func()) {
	ticker := time.NewTicker(5 * time.Millisecond)
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-ticker.C:
				s.replicate()
			case <-end:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(end)
		<-ended
	}
}

// entries counts the list on the primary of the newest term.
func (s *stage) entries() int {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	return len(s.group.instances[s.snapshot().Databases["seats"].Primary].list(roster.Name))
}

// failover isolates the primary and promotes the instance.
func (s *stage) failover(term model.Term, id model.InstanceID) {
	s.group.mutex.Lock()
	s.group.instances["p"].isolated = true
	s.group.mutex.Unlock()
	s.group.promote(term, id)
	s.observe()
}

// hostDies publishes a view in which the host is dead.
func (s *stage) hostDies(id model.HostID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := *s.view
	next.Hosts = map[model.HostID]view.Host{id: {Liveness: view.Dead}}
	s.view = &next
}

func TestFaults(t *testing.T) {
	policy, err := config.Compile(1, config.Default())
	if err != nil {
		t.Fatalf("got error %v of the policy, want none", err)
	}
	tests := map[string]struct {
		play  func(s *stage)
		told  []string
		final int // entries on the newest primary
	}{
		"lost answer is resolved": {
			play: func(s *stage) {
				s.read()
				s.fault(faults{loseAfter: 1})
				s.healAfter(limit / 4)
				s.write("w")
				s.read()
			},
			told: []string{"done 0", "repeated", "done 1"}, final: 1,
		},
		"lost request runs later": {
			play: func(s *stage) { s.fault(faults{loseBefore: 1}); s.healAfter(limit / 4); s.write("w"); s.read() },
			told: []string{"done 0", "done 1"}, final: 1,
		},
		"never answered, and the session waits for the outcome": {
			play: func(s *stage) {
				s.read()
				s.fault(faults{loseAfter: 1})
				s.healAfter(limit + limit/2)
				s.write("w")
				s.read()
			},
			told: []string{"done 0", "unknown", "done 1"}, final: 1,
		},
		"late effect comes once": {
			play: func(s *stage) {
				s.fault(faults{linger: 1})
				s.healAfter(limit / 8)
				s.write("w")
				time.Sleep(limit)
				s.read()
			},
			told: []string{"done 0", "done 1"}, final: 1,
		},
		"answered absent stays absent": {
			play: func(s *stage) { s.outcome("w"); s.write("w"); s.outcome("w"); s.read() },
			told: []string{"not run: not_found", "not run: not_found", "not run: not_found", "done 0"},
		},
		"absence waits for a replica of the new term": {
			play: func(s *stage) {
				s.replicate()
				s.group.mutex.Lock()
				s.group.instances["r"].isolated = true
				s.group.mutex.Unlock()
				s.failover(2, "q")
				s.outcome("w")
			},
			told: []string{"not run: unavailable"},
		},
		"recorded answer is repeated": {
			play: func(s *stage) { s.write("w"); s.write("w"); s.outcome("w") },
			told: []string{"done 0", "repeated", "repeated"}, final: 1,
		},
		"repeated after a failover": {
			play: func(s *stage) { s.write("w"); s.replicate(); s.failover(2, "q"); s.write("w"); s.read() },
			told: []string{"done 0", "repeated", "done 1"}, final: 1,
		},
		"lost write is told once": {
			play: func(s *stage) {
				s.write("w")
				s.replicate()
				for _, id := range []model.InstanceID{"q", "r"} {
					s.group.instances[id].log = nil
				}
				s.failover(2, "q")
				s.read()
				s.read()
			},
			told: []string{"done 0", "not run: lost_write", "done 0"},
		},
		"forged token": {
			play: func(s *stage) { s.token = "forged"; s.read(); s.write("w") },
			told: []string{"not run: bad_token", "not run: bad_token"},
		},
		"transaction":       {play: func(s *stage) { s.commit(s.begin()); s.read() }, told: []string{"done 0", "done 0", "done 1"}, final: 1},
		"commit repeated":   {play: func(s *stage) { id := s.begin(); s.commit(id); s.commit(id) }, told: []string{"done 0", "done 0", "repeated"}, final: 1},
		"commit never sent": {play: func(s *stage) { s.begin(); s.read() }, told: []string{"done 0", "done 0"}},
		"commit's answer is lost": {
			play: func(s *stage) {
				id := s.begin()
				s.fault(faults{loseAfter: 1})
				s.healAfter(limit / 4)
				s.commit(id)
			},
			told: []string{"done 0", "repeated"}, final: 1,
		},
		"commit is lost": {
			play: func(s *stage) {
				id := s.begin()
				s.fault(faults{loseBefore: 1})
				s.healAfter(limit / 4)
				s.commit(id)
			},
			told: []string{"done 0", "not run: transaction_ended"},
		},
		"statement's answer is lost": {
			play: func(s *stage) {
				id := s.begin()
				s.fault(faults{loseAfter: 1})
				s.within(id)
				s.fault(faults{})
				s.commit(id)
			},
			told: []string{"done 0", "unknown", "not run: transaction_ended"},
		},
		"idle transaction ends": {
			play: func(s *stage) { id := s.begin(); time.Sleep(time.Minute); s.commit(id) },
			told: []string{"done 0", "not run: transaction_ended"},
		},
		"proxy of a transaction dies": {
			play: func(s *stage) { id := s.begin(); s.hostDies("h-1"); time.Sleep(time.Second); s.commit(id) },
			told: []string{"done 0", "not run: transaction_ended"},
		},
		"primary of a transaction changes": {
			play: func(s *stage) { id := s.begin(); s.replicate(); s.failover(2, "q"); s.commit(id) },
			told: []string{"done 0", "not run: transaction_ended"},
		},
		"stop lets a transaction end and none begin": {
			play: func(s *stage) {
				id := s.begin()
				drained := make(chan struct{})
				go func() { s.executor.Drain(context.Background()); close(drained) }()
				synctest.Wait()
				s.begin()
				s.commit(id)
				<-drained
			},
			told: []string{"done 0", "not run: stopping", "done 0"}, final: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &stage{system: newSystem(newGroup(1, "seats", "p", "q", "r"), policy)}
				stop := s.keepReplicating()
				test.play(s)
				stop()
				if !slices.Equal(s.told, test.told) {
					t.Errorf("got %q, want %q", s.told, test.told)
				}
				if got := s.entries(); got != test.final {
					t.Errorf("got %d entries at the end, want %d", got, test.final)
				}
				s.close()
			})
		})
	}
}
