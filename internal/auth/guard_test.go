package auth

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// The bearer tokens of the tests.
const (
	callerToken   = "rws_caller"
	readerToken   = "rws_reader"
	operatorToken = "rws_operator"
	firstToken    = "rws_first"
)

// newPolicy returns a policy with a token of each role.
func newPolicy() *config.Policy {
	return &config.Policy{Document: config.Document{Tokens: []config.Token{
		{Name: "counter", Role: config.RoleCaller, Hash: Hash(callerToken)},
		{Name: "screen", Role: config.RoleReader, Hash: Hash(readerToken)},
		{Name: "dana", Role: config.RoleOperator, Hash: Hash(operatorToken)},
	}}}
}

func TestGuard(t *testing.T) {
	tests := map[string]struct {
		header string
		needed config.Role
		first  string
		open   bool
		none   bool // no configuration is in force
		want   int
	}{
		"no token":                         {needed: config.RoleCaller, want: http.StatusUnauthorized},
		"empty token":                      {header: "Bearer ", needed: config.RoleCaller, want: http.StatusUnauthorized},
		"unknown token":                    {header: "Bearer rws_x", needed: config.RoleCaller, want: http.StatusUnauthorized},
		"hash instead of the token":        {header: "Bearer " + Hash(operatorToken), needed: config.RoleCaller, want: http.StatusUnauthorized},
		"other scheme":                     {header: "Digest " + callerToken, needed: config.RoleCaller, want: http.StatusUnauthorized},
		"token too long":                   {header: "Bearer " + strings.Repeat("x", maxTokenLength+1), needed: config.RoleCaller, want: http.StatusUnauthorized},
		"caller for caller":                {header: "Bearer " + callerToken, needed: config.RoleCaller, want: http.StatusOK},
		"scheme in lower case":             {header: "bearer " + callerToken, needed: config.RoleCaller, want: http.StatusOK},
		"caller for reader":                {header: "Bearer " + callerToken, needed: config.RoleReader, want: http.StatusForbidden},
		"caller for operator":              {header: "Bearer " + callerToken, needed: config.RoleOperator, want: http.StatusForbidden},
		"reader for reader":                {header: "Bearer " + readerToken, needed: config.RoleReader, want: http.StatusOK},
		"reader for operator":              {header: "Bearer " + readerToken, needed: config.RoleOperator, want: http.StatusForbidden},
		"operator for operator":            {header: "Bearer " + operatorToken, needed: config.RoleOperator, want: http.StatusOK},
		"operator for caller":              {header: "Bearer " + operatorToken, needed: config.RoleCaller, want: http.StatusOK},
		"basic password":                   {header: basicAuth(readerToken), needed: config.RoleReader, want: http.StatusOK},
		"unknown basic password":           {header: basicAuth("guess"), needed: config.RoleReader, want: http.StatusUnauthorized},
		"first operator":                   {header: "Bearer " + firstToken, first: Hash(firstToken), needed: config.RoleOperator, want: http.StatusOK},
		"first operator, none set":         {header: "Bearer " + firstToken, needed: config.RoleOperator, want: http.StatusUnauthorized},
		"no configuration":                 {header: "Bearer " + operatorToken, none: true, needed: config.RoleReader, want: http.StatusUnauthorized},
		"first operator, no configuration": {header: "Bearer " + firstToken, first: Hash(firstToken), none: true, needed: config.RoleOperator, want: http.StatusOK},
		"no role needed":                   {want: http.StatusOK},
		"open access":                      {open: true, needed: config.RoleOperator, want: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			guard := NewGuard()
			guard.Log = &log.Logger{Handler: json.New(&logged), Level: log.DebugLevel}
			guard.OpenAccess = test.open
			guard.FirstOperator = config.Token{Name: "first", Role: config.RoleOperator, Hash: test.first}
			guard.Refuse = writeStatus
			guard.Policy = func() *config.Policy {
				if test.none {
					return nil
				}
				return newPolicy()
			}
			got := statusOf(guard, test.header, test.needed)
			if got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
			_, token, _ := strings.Cut(test.header, " ")
			if token != "" && strings.Contains(logged.String(), token) {
				t.Errorf("got the token in the log %s, want it hidden", logged.String())
			}
			if refused := got != http.StatusOK; refused != strings.Contains(logged.String(), `"event":500`) {
				t.Errorf("got log %q, want an event only for a refusal", logged.String())
			}
		})
	}
}

// basicAuth returns the Authorization header of basic authentication with the password.
func basicAuth(password string) string {
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.SetBasicAuth("any", password)
	return request.Header.Get("Authorization")
}

// writeStatus writes only the status of a refusal.
func writeStatus(w http.ResponseWriter, refusal *model.Refusal) {
	status := map[model.Code]int{model.CodeUnauthorized: http.StatusUnauthorized, model.CodeForbidden: http.StatusForbidden}
	w.WriteHeader(status[refusal.Code])
}

// statusOf sends one request through the guard and returns the response status.
func statusOf(guard *Guard, header string, needed config.Role) int {
	next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.Header.Set("Authorization", header)
	recorder := httptest.NewRecorder()
	guard.Require(func(*http.Request) config.Role { return needed }, next).ServeHTTP(recorder, request)
	return recorder.Code
}

func TestRemovedToken(t *testing.T) {
	current := newPolicy()
	guard := NewGuard()
	guard.Log = log.Log
	guard.Refuse = writeStatus
	guard.Policy = func() *config.Policy { return current }
	if got := statusOf(guard, "Bearer "+callerToken, config.RoleCaller); got != http.StatusOK {
		t.Fatalf("got status %d, want %d", got, http.StatusOK)
	}
	current = &config.Policy{}
	if got := statusOf(guard, "Bearer "+callerToken, config.RoleCaller); got != http.StatusUnauthorized {
		t.Errorf("got status %d for a removed token, want %d", got, http.StatusUnauthorized)
	}
}

func FuzzRequestToken(f *testing.F) {
	f.Add("Bearer " + callerToken)
	f.Add(basicAuth(readerToken))
	f.Add("Bearer  " + callerToken)
	set := NewTokenSet(newPolicy().Document.Tokens)
	f.Fuzz(func(t *testing.T, header string) {
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Header.Set("Authorization", header)
		token, found := requestToken(request)
		holder, known := set.Holder(token)
		if found && known && holder.Name == "" {
			t.Errorf("got a holder without a name for %q", header)
		}
		valid := token == callerToken || token == readerToken || token == operatorToken
		if known != valid {
			t.Errorf("got %v for token %q, want %v", known, token, valid)
		}
	})
}

func BenchmarkHolder(b *testing.B) {
	tokens := make([]config.Token, 64)
	for i := range tokens {
		tokens[i] = config.Token{Hash: Hash(NewToken())}
	}
	set := NewTokenSet(tokens)
	token := NewToken()
	b.ReportAllocs()
	for b.Loop() {
		if _, found := set.Holder(token); found {
			b.Fatal("got a holder of an unknown token")
		}
	}
}
