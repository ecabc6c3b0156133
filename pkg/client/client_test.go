package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"redwingspread/internal/model"
	"redwingspread/pkg/api/callerapi"
)

// step answers one request of a script.
type step func(w http.ResponseWriter, request string)

// done answers with a row and a token.
func done(token string) step {
	return func(w http.ResponseWriter, request string) {
		write(w, http.StatusOK, &callerapi.Answer{
			Request: request, Outcome: callerapi.AnswerOutcomeDone, Token: token,
			Role: callerapi.AnswerRolePrimary, Durability: callerapi.AnswerDurabilityReplica,
			Rows: []callerapi.AnswerRowsItem{{"value": "1"}},
		})
	}
}

// refuse answers with a refusal.
func refuse(code callerapi.RefusalCode, outcome callerapi.RefusalOutcome, token string) step {
	return func(w http.ResponseWriter, _ string) {
		write(w, http.StatusServiceUnavailable, &callerapi.Refusal{
			Code: code, Outcome: outcome, Message: "scripted", Token: optional(token),
		})
	}
}

// foreign answers as if to another request.
func foreign(w http.ResponseWriter, _ string) { done("t-x")(w, "another") }

// lose closes the connection without an answer.
func lose(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }

// cut sends the first part of an answer and closes the connection.
func cut(w http.ResponseWriter, request string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", "500")
	_, _ = w.Write([]byte(`{"request":"` + request + `"`))
}

// huge answers with more than the client takes.
func huge(w http.ResponseWriter, _ string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"request":"` + strings.Repeat("x", testLimit)))
}

// testLimit is the greatest answer of the tests in bytes.
const testLimit = 4096

// write sends a message.
func write(w http.ResponseWriter, status int, message json.Marshaler) {
	text, err := message.MarshalJSON()
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// script answers requests in order, and remembers the calls.
type script struct {
	mutex  sync.Mutex
	steps  []step
	calls  []string // path of each request, without ids
	tokens []string // token of each request
	ids    []string // request id of each request
}

// ServeHTTP answers one request.
func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	var message struct{ Request, Token string }
	_ = json.NewDecoder(r.Body).Decode(&message)
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	call := parts[1]
	if call == "outcomes" {
		message.Request, message.Token = parts[2], r.URL.Query().Get("token")
	} else if len(parts) == 4 {
		call = parts[3]
	}
	s.calls = append(s.calls, call)
	s.tokens = append(s.tokens, message.Token)
	s.ids = append(s.ids, message.Request)
	next := step(refuse(callerapi.RefusalCodeInternal, callerapi.RefusalOutcomeNotRun, ""))
	if len(s.steps) > 0 {
		next, s.steps = s.steps[0], s.steps[1:]
	}
	s.mutex.Unlock()
	next(w, message.Request)
}

// play returns a session whose requests the steps answer.
func play(t *testing.T, steps ...step) (*Session, *script) {
	t.Helper()
	s := &script{steps: steps}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client := New(model.Address(server.Listener.Addr().String()))
	client.AnswerLimit = testLimit
	client.Transport = &http.Transport{}
	return client.Session(), s
}

// outcomeOf names the outcome of a call in one word.
func outcomeOf(err error) string {
	var refused *Error
	switch {
	case err == nil:
		return "done"
	case !errors.As(err, &refused):
		return err.Error()
	case refused.NotRun:
		return "not run: " + string(refused.Code)
	}
	return "unknown"
}

func TestRun(t *testing.T) {
	busy := refuse(callerapi.RefusalCodeUnavailable, callerapi.RefusalOutcomeNotRun, "")
	doubt := refuse(callerapi.RefusalCodeOutcomeUnknown, callerapi.RefusalOutcomeUnknown, "")
	absent := refuse(callerapi.RefusalCodeNotFound, callerapi.RefusalOutcomeNotRun, "")
	invalid := refuse(callerapi.RefusalCodeInvalid, callerapi.RefusalOutcomeNotRun, "")
	tests := map[string]struct {
		read  bool
		steps []step
		want  string
		calls []string
	}{
		"write done":                 {steps: []step{done("t")}, want: "done", calls: []string{"statements"}},
		"write not run, repeated":    {steps: []step{busy, busy, done("t")}, want: "done", calls: []string{"statements", "statements", "statements"}},
		"bad input is not repeated":  {steps: []step{invalid}, want: "not run: invalid", calls: []string{"statements"}},
		"write unknown, found":       {steps: []step{doubt, done("t")}, want: "done", calls: []string{"statements", "outcomes"}},
		"write unknown, absent":      {steps: []step{doubt, absent}, want: "not run: not_found", calls: []string{"statements", "outcomes"}},
		"write lost, found":          {steps: []step{lose, done("t")}, want: "done", calls: []string{"statements", "outcomes"}},
		"write cut short, found":     {steps: []step{cut, done("t")}, want: "done", calls: []string{"statements", "outcomes"}},
		"write huge, found":          {steps: []step{huge, done("t")}, want: "done", calls: []string{"statements", "outcomes"}},
		"write of another, found":    {steps: []step{foreign, done("t")}, want: "done", calls: []string{"statements", "outcomes"}},
		"write lost, outcome lost":   {steps: []step{lose, lose, busy, done("t")}, want: "done", calls: []string{"statements", "outcomes", "outcomes", "outcomes"}},
		"write lost, never resolved": {steps: []step{lose, invalid}, want: "unknown", calls: []string{"statements", "outcomes"}},
		"read lost, repeated":        {read: true, steps: []step{lose, cut, foreign, done("t")}, want: "done", calls: []string{"statements", "statements", "statements", "statements"}},
		"read refused for bad token": {read: true, steps: []step{refuse(callerapi.RefusalCodeBadToken, callerapi.RefusalOutcomeNotRun, "")}, want: "not run: bad_token", calls: []string{"statements"}},
		"read told of a lost write":  {read: true, steps: []step{refuse(callerapi.RefusalCodeLostWrite, callerapi.RefusalOutcomeNotRun, "")}, want: "not run: lost_write", calls: []string{"statements"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			session, script := play(t, test.steps...)
			_, err := session.Run(context.Background(), Statement{Database: "seats", Kind: "register", Operation: "put", Read: test.read})
			if got := outcomeOf(err); got != test.want {
				t.Errorf("got outcome %q, want %q", got, test.want)
			}
			if !slices.Equal(script.calls, test.calls) {
				t.Errorf("got calls %v, want %v", script.calls, test.calls)
			}
			if ids := slices.Compact(script.ids); len(ids) != 1 {
				t.Errorf("got request ids %v, want one for all tries", ids)
			}
		})
	}
}

func TestSessionKeepsTheToken(t *testing.T) {
	session, script := play(t, done("t-1"), refuse(callerapi.RefusalCodeInvalid, callerapi.RefusalOutcomeNotRun, "t-2"), done("t-3"))
	for range 3 {
		_, _ = session.Run(context.Background(), Statement{Database: "seats", Read: true, Kind: "roster", Operation: "get"})
	}
	if got, want := script.tokens, []string{"", "t-1", "t-2"}; !slices.Equal(got, want) {
		t.Errorf("got tokens %q sent, want %q", got, want)
	}
	if got, want := session.Token(), "t-3"; got != want {
		t.Errorf("got token %q, want %q", got, want)
	}
}

func TestPendingWriteIsResolvedFirst(t *testing.T) {
	session, script := play(t, lose, lose, done("t-1"), done("t-2"))
	session.client.budget.Burst = 0
	session.client.budget.PerSecond = 0
	for session.client.budget.Take() {
		continue
	}
	_, err := session.Run(context.Background(), Statement{Database: "seats", Kind: "register", Operation: "put"})
	if got, want := outcomeOf(err), "unknown"; got != want {
		t.Fatalf("got outcome %q of the write, want %q", got, want)
	}
	_, err = session.Run(context.Background(), Statement{Database: "seats", Read: true, Kind: "roster", Operation: "get"})
	if got, want := outcomeOf(err), "done"; got != want {
		t.Errorf("got outcome %q of the read, want %q", got, want)
	}
	if got, want := script.calls, []string{"statements", "outcomes", "outcomes", "statements"}; !slices.Equal(got, want) {
		t.Errorf("got calls %v, want %v", got, want)
	}
}

// begun answers a begin.
func begun(w http.ResponseWriter, _ string) {
	write(w, http.StatusOK, &callerapi.Transaction{Transaction: "x-1", Token: "t-1"})
}

func TestTransaction(t *testing.T) {
	ended := refuse(callerapi.RefusalCodeTransactionEnded, callerapi.RefusalOutcomeNotRun, "")
	absent := refuse(callerapi.RefusalCodeNotFound, callerapi.RefusalOutcomeNotRun, "")
	tests := map[string]struct {
		steps []step
		want  []string // outcomes of the statement and the commit
		calls []string
	}{
		"done":                {steps: []step{begun, done("t"), done("t")}, want: []string{"done", "done"}, calls: []string{"transactions", "statements", "commit"}},
		"statement lost":      {steps: []step{begun, lose, ended}, want: []string{"unknown", "not run: transaction_ended"}, calls: []string{"transactions", "statements", "commit"}},
		"commit lost, found":  {steps: []step{begun, done("t"), lose, done("t")}, want: []string{"done", "done"}, calls: []string{"transactions", "statements", "commit", "outcomes"}},
		"commit lost, absent": {steps: []step{begun, done("t"), lose, absent}, want: []string{"done", "not run: not_found"}, calls: []string{"transactions", "statements", "commit", "outcomes"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			session, script := play(t, test.steps...)
			transaction, err := session.Begin(context.Background(), "seats", "register", "")
			if err != nil {
				t.Fatalf("got error %v of Begin, want none", err)
			}
			_, runErr := transaction.Run(context.Background(), Statement{Kind: "register", Operation: "put"})
			_, commitErr := transaction.Commit(context.Background())
			if got := []string{outcomeOf(runErr), outcomeOf(commitErr)}; !slices.Equal(got, test.want) {
				t.Errorf("got outcomes %q, want %q", got, test.want)
			}
			if !slices.Equal(script.calls, test.calls) {
				t.Errorf("got calls %v, want %v", script.calls, test.calls)
			}
		})
	}
}

func TestNoHost(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := model.Address(server.Listener.Addr().String())
	server.Close()
	for name, addresses := range map[string][]model.Address{"none given": nil, "nobody listens": {address}} {
		t.Run(name, func(t *testing.T) {
			client := New(addresses...)
			client.budget.Burst, client.budget.PerSecond = 0, 0
			client.budget.RecordSuccess()
			_, err := client.Session().Run(context.Background(), Statement{Database: "seats", Kind: "register", Operation: "put"})
			var refused *Error
			if !errors.As(err, &refused) || !refused.NotRun {
				t.Errorf("got error %v, want one that tells that nothing ran", err)
			}
		})
	}
}
