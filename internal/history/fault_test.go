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

// scenario is a fault test: a server, its session and the outcomes that callers got.
type scenario struct {
	*proxyServer
	token    string
	outcomes []string
}

// requestTimeout is the timeout of each request.
const requestTimeout = 2 * time.Second

// record adds the outcome of a request and stores the session token.
func (s *scenario) record(answer proxy.Answer, err error) {
	var refusal *model.Refusal
	var refused *proxy.RefusedError
	if errors.As(err, &refused) {
		s.token = refused.Token
	}
	switch {
	case err == nil && answer.Result.Repeated:
		s.outcomes = append(s.outcomes, "repeated")
	case err == nil:
		s.outcomes = append(s.outcomes, fmt.Sprint("done ", len(answer.Result.Rows)))
	case errors.As(err, &refusal) && refusal.NotRun:
		s.outcomes = append(s.outcomes, "not run: "+string(refusal.Code))
	default:
		s.outcomes = append(s.outcomes, "unknown")
	}
	if err == nil {
		s.token = answer.Token
	}
}

// request returns a request of the session for the list.
func (s *scenario) request(kind model.KindID, id model.RequestID) proxy.Request {
	return proxy.Request{
		ID: id, Database: "seats", Kind: kind, Operation: "list",
		Arguments: map[string]string{"list": roster.Name}, Token: s.token, Timeout: requestTimeout,
	}
}

// write appends to the list under the request id.
func (s *scenario) write(id model.RequestID) {
	s.record(s.proxy.Execute(context.Background(), s.request("registration", id)))
}

// read reads the list.
func (s *scenario) read() { s.record(s.proxy.Execute(context.Background(), s.request("counter", "r"))) }

// outcome asks for the outcome of a request.
func (s *scenario) outcome(id model.RequestID) {
	s.record(s.proxy.Outcome(context.Background(), s.request("", id)))
}

// begin begins a transaction and runs a write in it.
func (s *scenario) begin() model.TransactionID {
	answer, err := s.proxy.Begin(context.Background(), s.request("registration", "t"))
	if err != nil {
		s.record(answer, err)
		return ""
	}
	s.writeIn(answer.Result.Transaction)
	return answer.Result.Transaction
}

// writeIn runs a write in the transaction.
func (s *scenario) writeIn(id model.TransactionID) {
	request := s.request("registration", "t-1")
	request.Transaction = id
	s.record(s.proxy.Execute(context.Background(), request))
}

// commit commits the transaction.
func (s *scenario) commit(id model.TransactionID) {
	s.record(s.proxy.Commit(context.Background(), proxy.Request{ID: "t", Transaction: id, Token: s.token, Timeout: requestTimeout}))
}

// setFaults sets the fault rates of the database.
func (s *scenario) setFaults(rates faultRates) {
	s.database.mutex.Lock()
	defer s.database.mutex.Unlock()
	s.database.faults = rates
}

// healAfter clears the faults after the delay.
func (s *scenario) healAfter(delay time.Duration) {
	time.AfterFunc(delay, func() { s.setFaults(faultRates{}) })
}

// replicate runs one round of replication and publishes the new state.
func (s *scenario) replicate() {
	s.database.replicate(time.Now())
	s.observe()
}

// keepReplicating replicates every 5 ms until the returned function is called.
func (s *scenario) keepReplicating() (stop func()) {
	ticker := time.NewTicker(5 * time.Millisecond)
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-ticker.C:
				s.replicate()
			case <-stopping:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(stopping)
		<-stopped
	}
}

// entries returns the length of the list on the primary of the newest term.
func (s *scenario) entries() int {
	s.database.mutex.Lock()
	defer s.database.mutex.Unlock()
	return len(s.database.instances[s.snapshot().Databases["seats"].Primary].list(roster.Name))
}

// failover isolates the first primary and promotes the instance.
func (s *scenario) failover(term model.Term, id model.InstanceID) {
	s.database.mutex.Lock()
	s.database.instances["p"].isolated = true
	s.database.mutex.Unlock()
	s.database.promote(term, id)
	s.observe()
}

// markHostDead publishes a view in which the host is dead.
func (s *scenario) markHostDead(id model.HostID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := *s.view
	next.Hosts = map[model.HostID]view.Host{id: {Liveness: view.Dead}}
	s.view = &next
}

func TestFaults(t *testing.T) {
	policy, err := config.Compile(1, config.Default())
	if err != nil {
		t.Fatalf("failed to compile the policy: %v", err)
	}
	tests := map[string]struct {
		run   func(s *scenario)
		want  []string // outcomes
		final int      // length of the list on the newest primary
	}{
		"lost response is resolved": {
			run: func(s *scenario) {
				s.read()
				s.setFaults(faultRates{loseResponse: 1})
				s.healAfter(requestTimeout / 4)
				s.write("w")
				s.read()
			},
			want: []string{"done 0", "repeated", "done 1"}, final: 1,
		},
		"lost request is retried": {
			run: func(s *scenario) {
				s.setFaults(faultRates{loseRequest: 1})
				s.healAfter(requestTimeout / 4)
				s.write("w")
				s.read()
			},
			want: []string{"done 0", "done 1"}, final: 1,
		},
		"no response before the deadline, and the next read resolves the outcome": {
			run: func(s *scenario) {
				s.read()
				s.setFaults(faultRates{loseResponse: 1})
				s.healAfter(requestTimeout + requestTimeout/2)
				s.write("w")
				s.read()
			},
			want: []string{"done 0", "unknown", "done 1"}, final: 1,
		},
		"deferred effect is applied once": {
			run: func(s *scenario) {
				s.setFaults(faultRates{deferEffect: 1})
				s.healAfter(requestTimeout / 8)
				s.write("w")
				time.Sleep(requestTimeout)
				s.read()
			},
			want: []string{"done 0", "done 1"}, final: 1,
		},
		"write reported as not found never runs": {
			run:  func(s *scenario) { s.outcome("w"); s.write("w"); s.outcome("w"); s.read() },
			want: []string{"not run: not_found", "not run: not_found", "not run: not_found", "done 0"},
		},
		"not found is reported only with a replica of the new term": {
			run: func(s *scenario) {
				s.replicate()
				s.database.mutex.Lock()
				s.database.instances["r"].isolated = true
				s.database.mutex.Unlock()
				s.failover(2, "q")
				s.outcome("w")
			},
			want: []string{"not run: unavailable"},
		},
		"recorded result is returned again": {
			run:  func(s *scenario) { s.write("w"); s.write("w"); s.outcome("w") },
			want: []string{"done 0", "repeated", "repeated"}, final: 1,
		},
		"recorded result after a failover": {
			run:  func(s *scenario) { s.write("w"); s.replicate(); s.failover(2, "q"); s.write("w"); s.read() },
			want: []string{"done 0", "repeated", "done 1"}, final: 1,
		},
		"lost write is reported once": {
			run: func(s *scenario) {
				s.write("w")
				s.replicate()
				s.database.mutex.Lock() // the probes of the write may still read the instances
				for _, id := range []model.InstanceID{"q", "r"} {
					s.database.instances[id].log = nil
				}
				s.database.mutex.Unlock()
				s.failover(2, "q")
				s.read()
				s.read()
			},
			want: []string{"done 0", "not run: lost_write", "done 0"},
		},
		"forged token": {
			run:  func(s *scenario) { s.token = "forged"; s.read(); s.write("w") },
			want: []string{"not run: bad_token", "not run: bad_token"},
		},
		"transaction":                {run: func(s *scenario) { s.commit(s.begin()); s.read() }, want: []string{"done 0", "done 0", "done 1"}, final: 1},
		"repeated commit":            {run: func(s *scenario) { id := s.begin(); s.commit(id); s.commit(id) }, want: []string{"done 0", "done 0", "repeated"}, final: 1},
		"transaction without commit": {run: func(s *scenario) { s.begin(); s.read() }, want: []string{"done 0", "done 0"}},
		"response to commit is lost": {
			run: func(s *scenario) {
				id := s.begin()
				s.setFaults(faultRates{loseResponse: 1})
				s.healAfter(requestTimeout / 4)
				s.commit(id)
			},
			want: []string{"done 0", "repeated"}, final: 1,
		},
		"commit request is lost": {
			run: func(s *scenario) {
				id := s.begin()
				s.setFaults(faultRates{loseRequest: 1})
				s.healAfter(requestTimeout / 4)
				s.commit(id)
			},
			want: []string{"done 0", "not run: transaction_ended"},
		},
		"response to statement is lost": {
			run: func(s *scenario) {
				id := s.begin()
				s.setFaults(faultRates{loseResponse: 1})
				s.writeIn(id)
				s.setFaults(faultRates{})
				s.commit(id)
			},
			want: []string{"done 0", "unknown", "not run: transaction_ended"},
		},
		"idle transaction times out": {
			run:  func(s *scenario) { id := s.begin(); time.Sleep(time.Minute); s.commit(id) },
			want: []string{"done 0", "not run: transaction_ended"},
		},
		"proxy host of a transaction dies": {
			run:  func(s *scenario) { id := s.begin(); s.markHostDead("h-1"); time.Sleep(time.Second); s.commit(id) },
			want: []string{"done 0", "not run: transaction_ended"},
		},
		"primary of a transaction changes": {
			run:  func(s *scenario) { id := s.begin(); s.replicate(); s.failover(2, "q"); s.commit(id) },
			want: []string{"done 0", "not run: transaction_ended"},
		},
		"drain finishes open transactions and refuses new ones": {
			run: func(s *scenario) {
				id := s.begin()
				drained := make(chan struct{})
				go func() { s.executor.Drain(context.Background()); close(drained) }()
				synctest.Wait()
				s.begin()
				s.commit(id)
				<-drained
			},
			want: []string{"done 0", "not run: stopping", "done 0"}, final: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scenario{proxyServer: newProxyServer(newFakeDatabase(1, "seats", "p", "q", "r"), policy)}
				stop := s.keepReplicating()
				test.run(s)
				stop()
				if !slices.Equal(s.outcomes, test.want) {
					t.Errorf("got outcomes %q, want %q", s.outcomes, test.want)
				}
				if got := s.entries(); got != test.final {
					t.Errorf("got %d entries at the end, want %d", got, test.final)
				}
				s.close()
			})
		})
	}
}
