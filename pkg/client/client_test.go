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

// responder answers one request of a script.
type responder func(w http.ResponseWriter, request string)

// respondDone answers with a row and a token.
func respondDone(token string) responder {
	return func(w http.ResponseWriter, request string) {
		writeJSON(w, http.StatusOK, &callerapi.Answer{
			Request: request, Outcome: callerapi.AnswerOutcomeDone, Token: token,
			Role: callerapi.AnswerRolePrimary, Durability: callerapi.AnswerDurabilityReplica,
			Rows: []callerapi.AnswerRowsItem{{"value": "1"}},
		})
	}
}

// respondRefusal answers with a refusal.
func respondRefusal(code callerapi.RefusalCode, outcome callerapi.RefusalOutcome, token string) responder {
	return func(w http.ResponseWriter, _ string) {
		writeJSON(w, http.StatusServiceUnavailable, &callerapi.Refusal{
			Code: code, Outcome: outcome, Message: "scripted", Token: optionalString(token),
		})
	}
}

// respondToOther answers as if to another request.
func respondToOther(w http.ResponseWriter, _ string) { respondDone("t-x")(w, "another") }

// closeConnection closes the connection without an answer.
func closeConnection(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }

// truncateResponse sends the first part of an answer and closes the connection.
func truncateResponse(w http.ResponseWriter, request string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", "500")
	_, _ = w.Write([]byte(`{"request":"` + request + `"`))
}

// respondTooLarge answers with more than the client takes.
func respondTooLarge(w http.ResponseWriter, _ string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"request":"` + strings.Repeat("x", maxResponseBytes)))
}

// maxResponseBytes is the greatest answer of the tests in bytes.
const maxResponseBytes = 4096

// writeJSON sends a message.
func writeJSON(w http.ResponseWriter, status int, message json.Marshaler) {
	text, err := message.MarshalJSON()
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// scriptedServer answers requests in order, and remembers the calls.
type scriptedServer struct {
	mutex      sync.Mutex
	responders []responder
	endpoints  []string // path of each request, without ids
	tokens     []string // token of each request
	requestIDs []string // request id of each request
}

// ServeHTTP answers one request.
func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	s.endpoints = append(s.endpoints, call)
	s.tokens = append(s.tokens, message.Token)
	s.requestIDs = append(s.requestIDs, message.Request)
	next := responder(respondRefusal(callerapi.RefusalCodeInternal, callerapi.RefusalOutcomeNotRun, ""))
	if len(s.responders) > 0 {
		next, s.responders = s.responders[0], s.responders[1:]
	}
	s.mutex.Unlock()
	next(w, message.Request)
}

// newScriptedSession returns a session whose requests the steps answer.
func newScriptedSession(t *testing.T, steps ...responder) (*Session, *scriptedServer) {
	t.Helper()
	s := &scriptedServer{responders: steps}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client := New(model.Address(server.Listener.Addr().String()))
	client.MaxResponseBytes = maxResponseBytes
	client.Transport = &http.Transport{}
	return client.Session(), s
}

// describeOutcome names the outcome of a call in one word.
func describeOutcome(err error) string {
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
	busy := respondRefusal(callerapi.RefusalCodeUnavailable, callerapi.RefusalOutcomeNotRun, "")
	doubt := respondRefusal(callerapi.RefusalCodeOutcomeUnknown, callerapi.RefusalOutcomeUnknown, "")
	absent := respondRefusal(callerapi.RefusalCodeNotFound, callerapi.RefusalOutcomeNotRun, "")
	invalid := respondRefusal(callerapi.RefusalCodeInvalid, callerapi.RefusalOutcomeNotRun, "")
	tests := map[string]struct {
		read  bool
		steps []responder
		want  string
		calls []string
	}{
		"write done":                 {steps: []responder{respondDone("t")}, want: "done", calls: []string{"statements"}},
		"write not run, repeated":    {steps: []responder{busy, busy, respondDone("t")}, want: "done", calls: []string{"statements", "statements", "statements"}},
		"bad input is not repeated":  {steps: []responder{invalid}, want: "not run: invalid", calls: []string{"statements"}},
		"write unknown, found":       {steps: []responder{doubt, respondDone("t")}, want: "done", calls: []string{"statements", "outcomes"}},
		"write unknown, absent":      {steps: []responder{doubt, absent}, want: "not run: not_found", calls: []string{"statements", "outcomes"}},
		"write lost, found":          {steps: []responder{closeConnection, respondDone("t")}, want: "done", calls: []string{"statements", "outcomes"}},
		"write cut short, found":     {steps: []responder{truncateResponse, respondDone("t")}, want: "done", calls: []string{"statements", "outcomes"}},
		"write huge, found":          {steps: []responder{respondTooLarge, respondDone("t")}, want: "done", calls: []string{"statements", "outcomes"}},
		"write of another, found":    {steps: []responder{respondToOther, respondDone("t")}, want: "done", calls: []string{"statements", "outcomes"}},
		"write lost, outcome lost":   {steps: []responder{closeConnection, closeConnection, busy, respondDone("t")}, want: "done", calls: []string{"statements", "outcomes", "outcomes", "outcomes"}},
		"write lost, never resolved": {steps: []responder{closeConnection, invalid}, want: "unknown", calls: []string{"statements", "outcomes"}},
		"read lost, repeated":        {read: true, steps: []responder{closeConnection, truncateResponse, respondToOther, respondDone("t")}, want: "done", calls: []string{"statements", "statements", "statements", "statements"}},
		"read refused for bad token": {read: true, steps: []responder{respondRefusal(callerapi.RefusalCodeBadToken, callerapi.RefusalOutcomeNotRun, "")}, want: "not run: bad_token", calls: []string{"statements"}},
		"read told of a lost write":  {read: true, steps: []responder{respondRefusal(callerapi.RefusalCodeLostWrite, callerapi.RefusalOutcomeNotRun, "")}, want: "not run: lost_write", calls: []string{"statements"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			session, script := newScriptedSession(t, test.steps...)
			_, err := session.Run(context.Background(), Statement{Database: "seats", Kind: "register", Operation: "put", Read: test.read})
			if got := describeOutcome(err); got != test.want {
				t.Errorf("got outcome %q, want %q", got, test.want)
			}
			if !slices.Equal(script.endpoints, test.calls) {
				t.Errorf("got calls %v, want %v", script.endpoints, test.calls)
			}
			if ids := slices.Compact(script.requestIDs); len(ids) != 1 {
				t.Errorf("got request ids %v, want one for all tries", ids)
			}
		})
	}
}

func TestSessionKeepsTheToken(t *testing.T) {
	session, script := newScriptedSession(t, respondDone("t-1"), respondRefusal(callerapi.RefusalCodeInvalid, callerapi.RefusalOutcomeNotRun, "t-2"), respondDone("t-3"))
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

func TestPendingWriteIsResolvedBeforeNextRequest(t *testing.T) {
	session, script := newScriptedSession(t, closeConnection, closeConnection, respondDone("t-1"), respondDone("t-2"))
	session.client.budget.Burst = 0
	session.client.budget.PerSecond = 0
	for session.client.budget.Take() {
		continue
	}
	_, err := session.Run(context.Background(), Statement{Database: "seats", Kind: "register", Operation: "put"})
	if got, want := describeOutcome(err), "unknown"; got != want {
		t.Fatalf("got outcome %q of the write, want %q", got, want)
	}
	_, err = session.Run(context.Background(), Statement{Database: "seats", Read: true, Kind: "roster", Operation: "get"})
	if got, want := describeOutcome(err), "done"; got != want {
		t.Errorf("got outcome %q of the read, want %q", got, want)
	}
	if got, want := script.endpoints, []string{"statements", "outcomes", "outcomes", "statements"}; !slices.Equal(got, want) {
		t.Errorf("got calls %v, want %v", got, want)
	}
}

// respondBegun answers a begin.
func respondBegun(w http.ResponseWriter, _ string) {
	writeJSON(w, http.StatusOK, &callerapi.Transaction{Transaction: "x-1", Token: "t-1"})
}

func TestTransaction(t *testing.T) {
	ended := respondRefusal(callerapi.RefusalCodeTransactionEnded, callerapi.RefusalOutcomeNotRun, "")
	absent := respondRefusal(callerapi.RefusalCodeNotFound, callerapi.RefusalOutcomeNotRun, "")
	tests := map[string]struct {
		steps []responder
		want  []string // outcomes of the statement and the commit
		calls []string
	}{
		"done":                {steps: []responder{respondBegun, respondDone("t"), respondDone("t")}, want: []string{"done", "done"}, calls: []string{"transactions", "statements", "commit"}},
		"statement lost":      {steps: []responder{respondBegun, closeConnection, ended}, want: []string{"unknown", "not run: transaction_ended"}, calls: []string{"transactions", "statements", "commit"}},
		"commit lost, found":  {steps: []responder{respondBegun, respondDone("t"), closeConnection, respondDone("t")}, want: []string{"done", "done"}, calls: []string{"transactions", "statements", "commit", "outcomes"}},
		"commit lost, absent": {steps: []responder{respondBegun, respondDone("t"), closeConnection, absent}, want: []string{"done", "not run: not_found"}, calls: []string{"transactions", "statements", "commit", "outcomes"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			session, script := newScriptedSession(t, test.steps...)
			transaction, err := session.Begin(context.Background(), "seats", "register", "")
			if err != nil {
				t.Fatalf("got error %v of Begin, want none", err)
			}
			_, runErr := transaction.Run(context.Background(), Statement{Kind: "register", Operation: "put"})
			_, commitErr := transaction.Commit(context.Background())
			if got := []string{describeOutcome(runErr), describeOutcome(commitErr)}; !slices.Equal(got, test.want) {
				t.Errorf("got outcomes %q, want %q", got, test.want)
			}
			if !slices.Equal(script.endpoints, test.calls) {
				t.Errorf("got calls %v, want %v", script.endpoints, test.calls)
			}
		})
	}
}

func TestUnreachableHosts(t *testing.T) {
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
