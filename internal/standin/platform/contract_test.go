package platform_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/model"
	store "redwingspread/internal/platform"
	"redwingspread/internal/standin"
	"redwingspread/internal/standin/fault"
	"redwingspread/internal/standin/platform"
)

// fixture is a stand-in for the platform and a client of it.
type fixture struct {
	platform *platform.Platform
	client   *store.Client
}

// newFixture starts a platform and connects a client to it.
func newFixture(t *testing.T, connect func(handler http.Handler) (model.Address, http.RoundTripper)) *fixture {
	p := platform.New()
	p.ListLag = 2 * time.Second
	p.Members = []platform.Member{{Role: platform.RoleHost, ID: "h1", Address: "127.0.0.1:1", DataCentre: "a", Region: "r"}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go p.Run(ctx, done)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	client := store.NewClient()
	client.Host = "h1"
	address, transport := connect(p.Handler())
	client.Address = address
	client.HTTP = &http.Client{Transport: transport}
	return &fixture{platform: p, client: client}
}

// inMemory serves the handler on an in-memory network.
func inMemory(handler http.Handler) (model.Address, http.RoundTripper) {
	network := standin.NewNetwork()
	network.SetHandler("10.0.0.1:1", handler)
	return "10.0.0.1:1", network
}

// overLoopback serves the handler over HTTP on the loopback interface.
func overLoopback(t *testing.T) func(http.Handler) (model.Address, http.RoundTripper) {
	return func(handler http.Handler) (model.Address, http.RoundTripper) {
		server := httptest.NewServer(handler)
		transport := &http.Transport{}
		t.Cleanup(transport.CloseIdleConnections)
		t.Cleanup(server.Close)
		return model.Address(server.Listener.Addr().String()), transport
	}
}

// commit commits one row and describes the outcome.
func (f *fixture) commit(key model.RowKey, version model.Version, value string) string {
	commit, err := f.client.Commit(context.Background(), []store.Check{{Key: key, Version: version}}, []store.Put{{Key: key, Value: value}})
	return describe(fmt.Sprint(commit), err)
}

// rows reads the rows under k/ that changed after the revision and describes them.
func (f *fixture) rows(after model.Revision) string {
	rows, revision, err := f.client.Rows(context.Background(), "k/", after)
	return describe(fmt.Sprint(rows, revision), err)
}

// describe returns the description of a success, or describes the error.
func describe(success string, err error) string {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return fmt.Sprintf("%s notRun=%v", refusal.Code, refusal.NotRun)
	}
	if err != nil {
		return err.Error()
	}
	return success
}

// contract lists the behaviour that every platform must show, in memory and over HTTP.
var contract = map[string]struct {
	do   func(f *fixture) []string
	want []string
}{
	"a write increments the version of its row and the revision of the table": {
		do: func(f *fixture) []string {
			return []string{f.commit("k/a", 0, "1"), f.commit("k/b", 0, "2"), f.commit("k/a", 1, "3"), f.rows(0), f.rows(2)}
		},
		want: []string{"{true [{k/a 1 1 1}]}", "{true [{k/b 1 2 2}]}", "{true [{k/a 2 3 3}]}", "[{k/a 2 3 3} {k/b 1 2 2}] 3", "[{k/a 2 3 3}] 3"},
	},
	"a failed check writes nothing and returns the current row": {
		do: func(f *fixture) []string {
			return []string{f.commit("k/a", 0, "1"), f.commit("k/a", 0, "2"), f.commit("k/b", 7, "2"), f.rows(0)}
		},
		want: []string{"{true [{k/a 1 1 1}]}", "{false [{k/a 1 1 1}]}", "{false [{k/b 0 0 }]}", "[{k/a 1 1 1}] 1"},
	},
	"a transaction writes all rows or none": {
		do: func(f *fixture) []string {
			checks := []store.Check{{Key: "k/a"}, {Key: "k/b", Version: 1}}
			commit, err := f.client.Commit(context.Background(), checks, []store.Put{{Key: "k/a", Value: "1"}})
			return []string{describe(fmt.Sprint(commit.Committed), err), f.rows(0)}
		},
		want: []string{"false", "[] 0"},
	},
	"objects can be written, read and listed": {
		do: func(f *fixture) []string {
			ctx := context.Background()
			err := f.client.PutObject(ctx, "configuration/2", "text")
			got := []string{describe("stored", err)}
			content, err := f.client.Object(ctx, "configuration/2")
			got = append(got, describe(content, err))
			names, err := f.client.Objects(ctx, "configuration/")
			got = append(got, describe(fmt.Sprint(names), err))
			_, err = f.client.Object(ctx, "none")
			return append(got, describe("", err))
		},
		want: []string{"stored", "text", "[configuration/2]", "not_found notRun=true"},
	},
	"the member list holds the hosts": {
		do: func(f *fixture) []string {
			members, err := f.client.Members(context.Background())
			return []string{describe(fmt.Sprint(members.Hosts), err)}
		},
		want: []string{"[{h1 127.0.0.1:1 a r false}]"},
	},
	"nothing runs during an outage": {
		do: func(f *fixture) []string {
			f.platform.Faults.Set(fault.Faults{Outage: true})
			got := []string{f.commit("k/a", 0, "1")}
			f.platform.Faults.Set(fault.Faults{})
			return append(got, f.rows(0))
		},
		want: []string{"unavailable notRun=true", "[] 0"},
	},
	"a lost response leaves the outcome unknown": {
		do: func(f *fixture) []string {
			f.platform.Faults.Set(fault.Faults{LoseAnswers: 1})
			got := []string{f.commit("k/a", 0, "1")}
			f.platform.Faults.Set(fault.Faults{})
			return append(got, f.rows(0))
		},
		want: []string{"outcome_unknown notRun=false", "[{k/a 1 1 1}] 1"},
	},
	"a duplicated commit returns the row of its first run": {
		do: func(f *fixture) []string {
			f.platform.Faults.Set(fault.Faults{DoubleRequests: 1})
			return []string{f.commit("k/a", 0, "1"), f.rows(0)}
		},
		want: []string{"{true [{k/a 1 1 1}]}", "[{k/a 1 1 1}] 1"},
	},
}

func TestContractInMemory(t *testing.T) {
	for name, test := range contract {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				compare(t, test.do(newFixture(t, inMemory)), test.want)
			})
		})
	}
}

func TestContractOverHTTP(t *testing.T) {
	for name, test := range contract {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			compare(t, test.do(newFixture(t, overLoopback(t))), test.want)
		})
	}
}

func TestMembersLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, inMemory)
		added := platform.Member{Role: platform.RoleHost, ID: "h2", Address: "127.0.0.1:2", DataCentre: "a", Region: "r"}
		if err := f.platform.SetMember(t.Context(), added); err != nil {
			t.Fatal(err)
		}
		before, _ := f.client.Members(t.Context())
		time.Sleep(2 * time.Second)
		after, _ := f.client.Members(t.Context())
		got := []int{len(before.Hosts), len(after.Hosts)}
		want := []int{1, 2}
		if got[0] != want[0] || got[1] != want[1] {
			t.Errorf("got %v hosts, want %v", got, want)
		}
	})
}

func TestParseMember(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
	}{
		"a host":           {"host/h1/127.0.0.1:1/a/r", "{host h1 127.0.0.1:1 a r  false}"},
		"an endpoint":      {"endpoint/i1/127.0.0.1:1/a/r/fees", "{endpoint i1 127.0.0.1:1 a r fees false}"},
		"too few parts":    {"host/h1", `member "host/h1": has 2 parts, not 5`},
		"an unknown role":  {"guest/h1/127.0.0.1:1/a/r", `member "guest/h1/127.0.0.1:1/a/r": role is neither host nor endpoint`},
		"a bad IP address": {"host/h1/localhost:1/a/r", `member "host/h1/localhost:1/a/r": ParseAddr("localhost"): unable to parse IP`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			member, err := platform.ParseMember(test.text)
			got := describe(fmt.Sprint(member), err)
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// compare reports outcomes that differ.
func compare(t *testing.T, got, want []string) {
	t.Helper()
	if fmt.Sprintf("%q", got) != fmt.Sprintf("%q", want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
