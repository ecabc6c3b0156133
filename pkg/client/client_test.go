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

// responder sends the response to one request.
type responder func(w http.ResponseWriter, request string)

// respondDone sends an answer with one row and a session token.
func respondDone(token string) responder {
	return func(w http.ResponseWriter, request string) {
		writeJSON(w, http.StatusOK, &callerapi.Answer{
			Request: request, Outcome: callerapi.AnswerOutcomeDone, Token: token,
			Role: callerapi.AnswerRolePrimary, Durability: callerapi.AnswerDurabilityReplica,
			Rows: []callerapi.AnswerRowsItem{{"value": "1"}},
		})
	}
}

// respondRefusal sends a refusal; the session token may be empty.
func respondRefusal(code callerapi.RefusalCode, outcome callerapi.RefusalOutcome, token string) responder {
	return func(w http.ResponseWriter, _ string) {
		writeJSON(w, http.StatusServiceUnavailable, &callerapi.Refusal{
			Code: code, Outcome: outcome, Message: "refused by the test", Token: optionalString(token),
		})
	}
}

// respondToOther sends an answer to another request.
func respondToOther(w http.ResponseWriter, _ string) { respondDone("t-x")(w, "another") }

// closeConnection closes the connection without a response.
func closeConnection(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }

// truncateResponse sends the first part of a response and closes the connection.
func truncateResponse(w http.ResponseWriter, request string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", "500")
	_, _ = w.Write([]byte(`{"request":"` + request + `"`))
}

// respondTooLarge sends a response that exceeds the client's size limit.
func respondTooLarge(w http.ResponseWriter, _ string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"request":"` + strings.Repeat("x", maxResponseBytes)))
}

// maxResponseBytes is the client's size limit for response bodies in the tests.
const maxResponseBytes = 4096

// writeJSON sends a message as the response.
func writeJSON(w http.ResponseWriter, status int, message json.Marshaler) {
	body, err := message.MarshalJSON()
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// scriptedServer responds to requests with the given responders in order and records the requests.
type scriptedServer struct {
	mutex      sync.Mutex
	responders []responder
	paths      []string // last part of each request path, without ids
	tokens     []string // session token of each request
	requestIDs []string // request id of each request
}

// ServeHTTP records a request and runs its responder; once none is left, it refuses the request.
func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	var message struct{ Request, Token string }
	_ = json.NewDecoder(r.Body).Decode(&message)
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	path := parts[1]
	if path == "outcomes" {
		message.Request, message.Token = parts[2], r.URL.Query().Get("token")
	} else if len(parts) == 4 {
		path = parts[3]
	}
	s.paths = append(s.paths, path)
	s.tokens = append(s.tokens, message.Token)
	s.requestIDs = append(s.requestIDs, message.Request)
	next := responder(respondRefusal(callerapi.RefusalCodeInternal, callerapi.RefusalOutcomeNotRun, ""))
	if len(s.responders) > 0 {
		next, s.responders = s.responders[0], s.responders[1:]
	}
	s.mutex.Unlock()
	next(w, message.Request)
}

// newScriptedSession returns a session whose requests the responders answer in order, and its server.
func newScriptedSession(t *testing.T, responders ...responder) (*Session, *scriptedServer) {
	t.Helper()
	s := &scriptedServer{responders: responders}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client := New(model.Address(server.Listener.Addr().String()))
	client.MaxResponseBytes = maxResponseBytes
	client.Transport = &http.Transport{}
	return client.Session(), s
}

// describeOutcome returns a short text for the outcome of a call.
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
	unavailable := respondRefusal(callerapi.RefusalCodeUnavailable, callerapi.RefusalOutcomeNotRun, "")
	unknown := respondRefusal(callerapi.RefusalCodeOutcomeUnknown, callerapi.RefusalOutcomeUnknown, "")
	notFound := respondRefusal(callerapi.RefusalCodeNotFound, callerapi.RefusalOutcomeNotRun, "")
	invalid := respondRefusal(callerapi.RefusalCodeInvalid, callerapi.RefusalOutcomeNotRun, "")
	tests := map[string]struct {
		read       bool
		responders []responder
		want       string
		paths      []string
	}{
		"write done":                                    {responders: []responder{respondDone("t")}, want: "done", paths: []string{"statements"}},
		"refused write is retried":                      {responders: []responder{unavailable, unavailable, respondDone("t")}, want: "done", paths: []string{"statements", "statements", "statements"}},
		"invalid request is not retried":                {responders: []responder{invalid}, want: "not run: invalid", paths: []string{"statements"}},
		"unknown outcome, recorded":                     {responders: []responder{unknown, respondDone("t")}, want: "done", paths: []string{"statements", "outcomes"}},
		"unknown outcome, not recorded":                 {responders: []responder{unknown, notFound}, want: "not run: not_found", paths: []string{"statements", "outcomes"}},
		"response lost, recorded":                       {responders: []responder{closeConnection, respondDone("t")}, want: "done", paths: []string{"statements", "outcomes"}},
		"response truncated, recorded":                  {responders: []responder{truncateResponse, respondDone("t")}, want: "done", paths: []string{"statements", "outcomes"}},
		"response too large, recorded":                  {responders: []responder{respondTooLarge, respondDone("t")}, want: "done", paths: []string{"statements", "outcomes"}},
		"answer to another request, recorded":           {responders: []responder{respondToOther, respondDone("t")}, want: "done", paths: []string{"statements", "outcomes"}},
		"response lost, outcome requests fail at first": {responders: []responder{closeConnection, closeConnection, unavailable, respondDone("t")}, want: "done", paths: []string{"statements", "outcomes", "outcomes", "outcomes"}},
		"response lost, outcome request refused":        {responders: []responder{closeConnection, invalid}, want: "unknown", paths: []string{"statements", "outcomes"}},
		"read without a response is retried":            {read: true, responders: []responder{closeConnection, truncateResponse, respondToOther, respondDone("t")}, want: "done", paths: []string{"statements", "statements", "statements", "statements"}},
		"read with a bad token is not retried":          {read: true, responders: []responder{respondRefusal(callerapi.RefusalCodeBadToken, callerapi.RefusalOutcomeNotRun, "")}, want: "not run: bad_token", paths: []string{"statements"}},
		"read after a lost write is not retried":        {read: true, responders: []responder{respondRefusal(callerapi.RefusalCodeLostWrite, callerapi.RefusalOutcomeNotRun, "")}, want: "not run: lost_write", paths: []string{"statements"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			session, server := newScriptedSession(t, test.responders...)
			_, err := session.Run(context.Background(), Statement{Database: "seats", Kind: "register", Operation: "put", Read: test.read})
			if got := describeOutcome(err); got != test.want {
				t.Errorf("got outcome %q, want %q", got, test.want)
			}
			if !slices.Equal(server.paths, test.paths) {
				t.Errorf("got paths %v, want %v", server.paths, test.paths)
			}
			if ids := slices.Compact(server.requestIDs); len(ids) != 1 {
				t.Errorf("got request ids %v, want the same in all attempts", ids)
			}
		})
	}
}

func TestSessionKeepsTheToken(t *testing.T) {
	session, server := newScriptedSession(t, respondDone("t-1"), respondRefusal(callerapi.RefusalCodeInvalid, callerapi.RefusalOutcomeNotRun, "t-2"), respondDone("t-3"))
	for range 3 {
		_, _ = session.Run(context.Background(), Statement{Database: "seats", Read: true, Kind: "roster", Operation: "get"})
	}
	if got, want := server.tokens, []string{"", "t-1", "t-2"}; !slices.Equal(got, want) {
		t.Errorf("got tokens %q sent, want %q", got, want)
	}
	if got, want := session.Token(), "t-3"; got != want {
		t.Errorf("got token %q, want %q", got, want)
	}
}

func TestPendingWriteIsResolvedBeforeNextRequest(t *testing.T) {
	session, server := newScriptedSession(t, closeConnection, closeConnection, respondDone("t-1"), respondDone("t-2"))
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
	if got, want := server.paths, []string{"statements", "outcomes", "outcomes", "statements"}; !slices.Equal(got, want) {
		t.Errorf("got paths %v, want %v", got, want)
	}
}

// respondBegun sends the answer to a begin request.
func respondBegun(w http.ResponseWriter, _ string) {
	writeJSON(w, http.StatusOK, &callerapi.Transaction{Transaction: "x-1", Token: "t-1"})
}

func TestTransaction(t *testing.T) {
	ended := respondRefusal(callerapi.RefusalCodeTransactionEnded, callerapi.RefusalOutcomeNotRun, "")
	notFound := respondRefusal(callerapi.RefusalCodeNotFound, callerapi.RefusalOutcomeNotRun, "")
	tests := map[string]struct {
		responders []responder
		want       []string // outcome of the statement, then of the commit
		paths      []string
	}{
		"done":                                      {responders: []responder{respondBegun, respondDone("t"), respondDone("t")}, want: []string{"done", "done"}, paths: []string{"transactions", "statements", "commit"}},
		"response to the statement lost":            {responders: []responder{respondBegun, closeConnection, ended}, want: []string{"unknown", "not run: transaction_ended"}, paths: []string{"transactions", "statements", "commit"}},
		"response to the commit lost, recorded":     {responders: []responder{respondBegun, respondDone("t"), closeConnection, respondDone("t")}, want: []string{"done", "done"}, paths: []string{"transactions", "statements", "commit", "outcomes"}},
		"response to the commit lost, not recorded": {responders: []responder{respondBegun, respondDone("t"), closeConnection, notFound}, want: []string{"done", "not run: not_found"}, paths: []string{"transactions", "statements", "commit", "outcomes"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			session, server := newScriptedSession(t, test.responders...)
			transaction, err := session.Begin(context.Background(), "seats", "register", "")
			if err != nil {
				t.Fatalf("got error %v from Begin, want none", err)
			}
			_, runErr := transaction.Run(context.Background(), Statement{Kind: "register", Operation: "put"})
			_, commitErr := transaction.Commit(context.Background())
			if got := []string{describeOutcome(runErr), describeOutcome(commitErr)}; !slices.Equal(got, test.want) {
				t.Errorf("got outcomes %q, want %q", got, test.want)
			}
			if !slices.Equal(server.paths, test.paths) {
				t.Errorf("got paths %v, want %v", server.paths, test.paths)
			}
		})
	}
}

func TestUnreachableHosts(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := model.Address(server.Listener.Addr().String())
	server.Close()
	for name, addresses := range map[string][]model.Address{"no addresses": nil, "connection refused": {address}} {
		t.Run(name, func(t *testing.T) {
			client := New(addresses...)
			client.budget.Burst, client.budget.PerSecond = 0, 0
			client.budget.RecordSuccess()
			_, err := client.Session().Run(context.Background(), Statement{Database: "seats", Kind: "register", Operation: "put"})
			var refused *Error
			if !errors.As(err, &refused) || !refused.NotRun {
				t.Errorf("got error %v, want an *Error with NotRun set", err)
			}
		})
	}
}
