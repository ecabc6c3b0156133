package cli

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"redwingspread/internal/auth"
	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/internal/ledger/ledgertest"
	"redwingspread/internal/model"
	"redwingspread/internal/operator"
	"redwingspread/internal/view"
)

// firstOperatorToken is the token of the first operator in the tests.
const firstOperatorToken = "rws_first_operator_of_the_tests"

// testHost serves the operator API of one host, backed by a fake store.
type testHost struct {
	store     *ledgertest.Store
	view      atomic.Pointer[view.View]
	address   string // of the operator API
	directory string // temporary directory for the files of a test
}

// newTestHost starts the operator API of a host with the default configuration.
func newTestHost(t *testing.T) *testHost {
	t.Helper()
	host := &testHost{store: ledgertest.New(), directory: t.TempDir()}
	policy, err := config.Compile(0, config.Default())
	if err != nil {
		t.Fatal(err)
	}
	host.setPolicy(policy)
	server := operator.New()
	server.View = host.view.Load
	server.Log = &log.Logger{Handler: discard.New()}
	server.FirstOperator = config.Token{Name: "first", Role: config.RoleOperator, Hash: auth.Hash(firstOperatorToken)}
	server.Apply = func(_ model.Version, _ string, policy *config.Policy) { host.setPolicy(policy) }
	server.Ledger = &ledger.Ledger{
		Store:   host.store,
		Now:     time.Now,
		Nonce:   func() model.Nonce { return model.Nonce(auth.NewToken()) },
		InForce: func() model.Version { return host.view.Load().Policy.Version },
	}
	handler, err := server.Handler()
	if err != nil {
		t.Fatal(err)
	}
	httpServer := httptest.NewServer(handler)
	t.Cleanup(httpServer.Close)
	host.address = strings.TrimPrefix(httpServer.URL, "http://")
	return host
}

// setPolicy publishes a view with the policy.
func (host *testHost) setPolicy(policy *config.Policy) {
	host.view.Store(&view.View{Self: "h1", Policy: policy, Hosts: map[model.HostID]view.Host{
		"h1": {Host: model.Host{ID: "h1"}, Liveness: view.Alive, Configuration: policy.Version},
	}})
}

// run executes a command line, in which DIR is replaced by the directory of the test, and returns the exit code and the output.
func (host *testHost) run(t *testing.T, token, line string) (code int, printed string) {
	t.Helper()
	words := regexp.MustCompile(`'[^']*'|\S+`).FindAllString(strings.ReplaceAll(line, "DIR", host.directory), -1)
	for i, word := range words {
		words[i] = strings.Trim(word, "'")
	}
	t.Setenv("REDWINGSPREAD_OPERATOR_ADDRESS", host.address)
	t.Setenv("REDWINGSPREAD_OPERATOR_TOKEN", token)
	var out bytes.Buffer
	root := newRoot()
	root.Writer, root.ErrWriter = &out, &out
	err := root.Run(t.Context(), append([]string{"redwingspread"}, words...))
	if err == nil {
		return exitOK, out.String()
	}
	return exitCode(err), out.String() + err.Error()
}

func TestConfigCommands(t *testing.T) {
	const add = "config exception add --keep DIR/kept.json --name slow --database enrol-1 --setting deadlineMs --value 9000 --author Dana "
	concurrentChange := func(t *testing.T, host *testHost) {
		host.store.OnCommit(func() {
			other := &ledger.Ledger{Store: host.store, Now: time.Now, Nonce: func() model.Nonce { return "o" }, InForce: func() model.Version { return 0 }}
			document := config.Default()
			document.Defaults.QueueLimit = 77
			if _, err := other.Commit(t.Context(), 0, "Erlan", document); err != nil {
				t.Error(err)
			}
		})
	}
	tests := map[string]struct {
		prepare func(t *testing.T, host *testHost)
		lines   []string // command lines; the result of the last one is checked
		token   string
		code    int
		want    []string
	}{
		"show":                           {lines: []string{"config show"}, want: []string{"Configuration 0", "queueLimit", "registration", "Exceptions: 0"}},
		"show as JSON":                   {lines: []string{"config show --format json"}, want: []string{`"version": 0`, `"queueLimit": 512`}},
		"unknown token":                  {token: "rws_wrong", lines: []string{"config show"}, code: exitDenied, want: []string{"unauthorized"}},
		"invalid format":                 {lines: []string{"config show --format xml"}, code: exitUsage, want: []string{"one of text, json"}},
		"set":                            {lines: []string{"config set defaults.queueLimit 99 --author Dana", "config show"}, want: []string{"Configuration 1", "99"}},
		"set without an author":          {lines: []string{"config set defaults.queueLimit 99 --keep DIR/kept.json"}, code: exitUsage, want: []string{"--author"}},
		"set as a dry run":               {lines: []string{"config set defaults.queueLimit 99 --author Dana --dry-run", "config show"}, want: []string{"Configuration 0"}},
		"set shows the effect":           {lines: []string{"config set kinds.roster.maxAgeMs none --author Dana --dry-run"}, want: []string{"everywhere else", "roster", "maxAgeMs", "10000", "none"}},
		"set an invalid value":           {lines: []string{"config set defaults.queueLimit 0 --author Dana"}, code: exitUsage, want: []string{`defaults.queueLimit is "0"`, "100000"}},
		"set an unknown path":            {lines: []string{"config set hosts.h1 3 --author Dana"}, code: exitUsage, want: []string{"defaults.SETTING"}},
		"set without a value":            {lines: []string{"config set defaults.queueLimit --author Dana"}, code: exitUsage, want: []string{"wrong number"}},
		"exception add":                  {lines: []string{add + "--reason 'Export is slow'", "config show"}, want: []string{"slow: deadlineMs = 9000 for database enrol-1", "why: Export is slow", "by Dana on"}},
		"exception add without a reason": {lines: []string{add + "--reason ' '"}, code: exitUsage, want: []string{"exceptions[0].reason"}},
		"exception add, then explain":    {lines: []string{add + "--reason 'Export is slow'", "config explain enrol-1 roster"}, want: []string{"deadlineMs", "9000", "exception slow", "Export is slow", "kind"}},
		"exception add with a rank that is too large": {lines: []string{add + "--reason why --rank 258"}, code: exitUsage, want: []string{"exceptions[0].rank"}},
		"explain an unknown kind":                     {lines: []string{"config explain enrol-1 dancing"}, code: exitUsage, want: []string{"dancing"}},
		"exception retire":                            {lines: []string{add + "--reason why", "config exception retire slow --author Dana", "config exception list --format json"}, want: []string{"[]"}},
		"retire an unknown exception":                 {lines: []string{"config exception retire slow --author Dana"}, code: exitUsage, want: []string{`no exception is named "slow"`}},
		"exception list of due exceptions":            {lines: []string{add + "--reason why --review 2099-01-01", "config exception list --due --format json"}, want: []string{"[]"}},
		"history":                                     {lines: []string{add + "--reason why", "config history"}, want: []string{"VERSION", "1", "Dana"}},
		"diff of versions":                            {lines: []string{add + "--reason why", "config diff --from 0"}, want: []string{"exceptions.slow", "  + ", "database enrol-1", "5000", "9000"}},
		"diff without changes":                        {lines: []string{"config diff --from 0 --to 0"}, want: []string{"nothing changes"}},
		"show an unknown version":                     {lines: []string{"config show --version 8"}, code: exitFailed, want: []string{"not_found"}},
		"export and import":                           {prepare: exportEdited, lines: []string{"config import DIR/edited.json --author Dana", "config show"}, want: []string{"Configuration 1", "4321"}},
		"import of an outdated export":                {prepare: exportEdited, lines: []string{"config set defaults.queueLimit 99 --author Dana", "config import DIR/edited.json --author Dana --keep DIR/kept.json"}, code: exitConflict, want: []string{"conflict", "queueLimit", "kept in"}},
		"import of a missing file":                    {lines: []string{"config import DIR/none.json --author Dana"}, code: exitUsage, want: []string{"none.json"}},
		"restore":                                     {lines: []string{add + "--reason why", "config restore 0 --author Dana", "config show"}, want: []string{"Configuration 2", "Exceptions: 0"}},
		"restore an unknown version":                  {lines: []string{"config restore 9 --author Dana"}, code: exitFailed, want: []string{"not_found"}},
		"restore a version that is no number":         {lines: []string{"config restore last --author Dana"}, code: exitUsage, want: []string{"a whole number"}},
		"concurrent change":                           {prepare: concurrentChange, lines: []string{add + "--reason why"}, code: exitConflict, want: []string{"version 1 changed since version 0", `"queueLimit":77`, "kept in"}},
		"store unavailable":                           {prepare: func(_ *testing.T, host *testHost) { host.store.Fail(ledgertest.Down, 9) }, lines: []string{add + "--reason why"}, code: exitFailed, want: []string{"nothing was changed", "kept in"}},
		"config status":                               {lines: []string{add + "--reason why", "config status"}, want: []string{"h1", "alive", "1"}},
		"status":                                      {lines: []string{"status"}, want: []string{"h1, ready, configuration 0", "REFUSED BECAUSE"}},
		"status as JSON":                              {lines: []string{"status --format json"}, want: []string{`"ready": true`}},
		"keys grant":                                  {lines: []string{"keys grant --name app --role caller --reason App --author Dana"}, want: []string{"shown this once: rws_"}},
		"keys grant with an invalid role":             {lines: []string{"keys grant --name app --role root --reason App --author Dana"}, code: exitUsage, want: []string{"tokens[0].role"}},
		"keys grant, then show":                       {lines: []string{"keys grant --name app --role caller --reason App --author Dana", "config show"}, want: []string{"app: caller, App"}},
		"keys revoke":                                 {lines: []string{"keys grant --name app --role caller --reason App --author Dana", "keys revoke app --author Dana", "config show"}, want: []string{"Tokens: 0"}},
		"keys make":                                   {lines: []string{"keys make --hosts h1,h2 --directory DIR"}, want: []string{"h1-certificate.pem", "h2-key.pem"}},
		"keys first":                                  {lines: []string{"keys first"}, want: []string{"token rws_", "hash  "}},
		"unknown command":                             {lines: []string{"config tune h1"}, code: exitFailed, want: []string{"tune"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			host := newTestHost(t)
			if test.prepare != nil {
				test.prepare(t, host)
			}
			token := firstOperatorToken
			if test.token != "" {
				token = test.token
			}
			var code int
			var printed string
			for _, line := range test.lines {
				code, printed = host.run(t, token, line)
			}
			if code != test.code {
				t.Errorf("got exit code %d, want %d: %s", code, test.code, printed)
			}
			for _, part := range test.want {
				if !strings.Contains(printed, part) {
					t.Errorf("got %s\nwant %q in it", printed, part)
				}
			}
		})
	}
}

// exportEdited exports the configuration to DIR/edited.json with another deadline.
func exportEdited(t *testing.T, host *testHost) {
	_, text := host.run(t, firstOperatorToken, "config export")
	edited := strings.Replace(text, `"deadlineMs": 5000`, `"deadlineMs": 4321`, 1)
	if err := os.WriteFile(filepath.Join(host.directory, "edited.json"), []byte(edited), savedFileMode); err != nil {
		t.Fatal(err)
	}
}

func TestRefusedChangeIsSaved(t *testing.T) {
	host := newTestHost(t)
	host.run(t, firstOperatorToken, "config set defaults.queueLimit 99 --author Erlan")
	host.view.Store(newTestHost(t).view.Load()) // the host has not learned of version 1 yet
	code, printed := host.run(t, firstOperatorToken, "config set defaults.deadlineMs 4321 --author Dana --keep DIR/kept.json")
	if code != exitConflict {
		t.Fatalf("got exit code %d, want %d: %s", code, exitConflict, printed)
	}
	text, err := os.ReadFile(filepath.Join(host.directory, "kept.json"))
	if err != nil {
		t.Fatal(err)
	}
	var kept exportFile
	if err := json.Unmarshal(text, &kept); err != nil {
		t.Fatal(err)
	}
	document, err := config.Decode(string(kept.Document))
	if err != nil || document.Defaults.Deadline != 4321 {
		t.Errorf("got deadline %d (%v) kept, want 4321", document.Defaults.Deadline, err)
	}
	code, printed = host.run(t, firstOperatorToken, "config set defaults.deadlineMs 4321 --author Dana --keep DIR/none/kept.json")
	if code != exitConflict || !strings.Contains(printed, `"deadlineMs": 4321`) {
		t.Errorf("got exit code %d and %s, want the text printed when it can't be written", code, printed)
	}
}
