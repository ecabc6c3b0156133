package trust

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

// The tokens of the tests.
const (
	callerToken   = "rws_caller"
	readerToken   = "rws_reader"
	operatorToken = "rws_operator"
	firstToken    = "rws_first"
)

// policy returns a configuration with a token of each role.
func policy() *config.Policy {
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
		"no token":                      {needed: config.RoleCaller, want: http.StatusUnauthorized},
		"empty token":                   {header: "Bearer ", needed: config.RoleCaller, want: http.StatusUnauthorized},
		"unknown token":                 {header: "Bearer rws_x", needed: config.RoleCaller, want: http.StatusUnauthorized},
		"hash in place of the token":    {header: "Bearer " + Hash(operatorToken), needed: config.RoleCaller, want: http.StatusUnauthorized},
		"other scheme":                  {header: "Digest " + callerToken, needed: config.RoleCaller, want: http.StatusUnauthorized},
		"token too long":                {header: "Bearer " + strings.Repeat("x", maxToken+1), needed: config.RoleCaller, want: http.StatusUnauthorized},
		"caller calls":                  {header: "Bearer " + callerToken, needed: config.RoleCaller, want: http.StatusOK},
		"scheme in lower case":          {header: "bearer " + callerToken, needed: config.RoleCaller, want: http.StatusOK},
		"caller reads":                  {header: "Bearer " + callerToken, needed: config.RoleReader, want: http.StatusForbidden},
		"caller changes":                {header: "Bearer " + callerToken, needed: config.RoleOperator, want: http.StatusForbidden},
		"reader reads":                  {header: "Bearer " + readerToken, needed: config.RoleReader, want: http.StatusOK},
		"reader changes":                {header: "Bearer " + readerToken, needed: config.RoleOperator, want: http.StatusForbidden},
		"operator changes":              {header: "Bearer " + operatorToken, needed: config.RoleOperator, want: http.StatusOK},
		"operator calls":                {header: "Bearer " + operatorToken, needed: config.RoleCaller, want: http.StatusOK},
		"password of a browser":         {header: basic(readerToken), needed: config.RoleReader, want: http.StatusOK},
		"bad password":                  {header: basic("guess"), needed: config.RoleReader, want: http.StatusUnauthorized},
		"first operator":                {header: "Bearer " + firstToken, first: Hash(firstToken), needed: config.RoleOperator, want: http.StatusOK},
		"first operator, none set":      {header: "Bearer " + firstToken, needed: config.RoleOperator, want: http.StatusUnauthorized},
		"no configuration":              {header: "Bearer " + operatorToken, none: true, needed: config.RoleReader, want: http.StatusUnauthorized},
		"first without configuration":   {header: "Bearer " + firstToken, first: Hash(firstToken), none: true, needed: config.RoleOperator, want: http.StatusOK},
		"health needs nothing":          {want: http.StatusOK},
		"open lets a trial's client in": {open: true, needed: config.RoleOperator, want: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var written bytes.Buffer
			guard := NewGuard()
			guard.Log = &log.Logger{Handler: json.New(&written), Level: log.DebugLevel}
			guard.Open = test.open
			guard.First = config.Token{Name: "first", Role: config.RoleOperator, Hash: test.first}
			guard.Refuse = writeStatus
			guard.Policy = func() *config.Policy {
				if test.none {
					return nil
				}
				return policy()
			}
			got := ask(guard, test.header, test.needed)
			if got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
			_, token, _ := strings.Cut(test.header, " ")
			if token != "" && strings.Contains(written.String(), token) {
				t.Errorf("got the token in the log %s, want it hidden", written.String())
			}
			if refused := got != http.StatusOK; refused != strings.Contains(written.String(), `"event":500`) {
				t.Errorf("got log %q, want an event of the refusal alone", written.String())
			}
		})
	}
}

// basic returns the header that a browser sends for a password.
func basic(password string) string {
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.SetBasicAuth("any", password)
	return request.Header.Get("Authorization")
}

// writeStatus writes a refusal's status alone.
func writeStatus(w http.ResponseWriter, refusal *model.Refusal) {
	status := map[model.Code]int{model.CodeUnauthorized: http.StatusUnauthorized, model.CodeForbidden: http.StatusForbidden}
	w.WriteHeader(status[refusal.Code])
}

// ask sends one request through the guard and returns its status.
func ask(guard *Guard, header string, needed config.Role) int {
	done := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.Header.Set("Authorization", header)
	recorder := httptest.NewRecorder()
	guard.Require(func(*http.Request) config.Role { return needed }, done).ServeHTTP(recorder, request)
	return recorder.Code
}

func TestRetiredToken(t *testing.T) {
	inForce := policy()
	guard := NewGuard()
	guard.Log = log.Log
	guard.Refuse = writeStatus
	guard.Policy = func() *config.Policy { return inForce }
	if got := ask(guard, "Bearer "+callerToken, config.RoleCaller); got != http.StatusOK {
		t.Fatalf("got status %d, want %d", got, http.StatusOK)
	}
	inForce = &config.Policy{}
	if got := ask(guard, "Bearer "+callerToken, config.RoleCaller); got != http.StatusUnauthorized {
		t.Errorf("got status %d of a retired token, want %d", got, http.StatusUnauthorized)
	}
}

func FuzzToken(f *testing.F) {
	f.Add("Bearer " + callerToken)
	f.Add(basic(readerToken))
	f.Add("Bearer  " + callerToken)
	grants := NewGrants(policy().Document.Tokens)
	f.Fuzz(func(t *testing.T, header string) {
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Header.Set("Authorization", header)
		token, shown := shownToken(request)
		holder, known := grants.Holder(token)
		if shown && known && holder.Name == "" {
			t.Errorf("got a holder without a name for %q", header)
		}
		sound := token == callerToken || token == readerToken || token == operatorToken
		if known != sound {
			t.Errorf("got %v for token %q, want %v", known, token, sound)
		}
	})
}

func BenchmarkHolder(b *testing.B) {
	tokens := make([]config.Token, 64)
	for i := range tokens {
		tokens[i] = config.Token{Hash: Hash(NewToken())}
	}
	grants := NewGrants(tokens)
	token := NewToken()
	b.ReportAllocs()
	for b.Loop() {
		if _, found := grants.Holder(token); found {
			b.Fatal("got a holder of an unknown token")
		}
	}
}
