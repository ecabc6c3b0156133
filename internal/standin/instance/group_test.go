package instance_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/standin"
	"redwingspread/internal/standin/fault"
	"redwingspread/internal/standin/instance"
)

// group is a database of three instances; the first is primary.
type group struct {
	t         *testing.T
	transport http.RoundTripper
	addresses []model.Address
	instances []*instance.Instance
}

// serve makes a handler answer and returns its address.
type serve func(number int, handler http.Handler) model.Address

// newGroup starts three instances behind the transport.
func newGroup(t *testing.T, transport http.RoundTripper, serve serve) *group {
	g := &group{t: t, transport: transport}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for number := range 3 {
		i := instance.New()
		i.ID = model.InstanceID(fmt.Sprintf("i%d", number))
		i.Database = "fees"
		i.ConnectionCost = time.Millisecond
		i.ServiceTime = 5 * time.Millisecond
		i.Lag = 10 * time.Millisecond
		i.HTTP = &http.Client{Transport: transport}
		if number > 0 {
			i.Primary = g.addresses[0]
		}
		g.instances = append(g.instances, i)
		g.addresses = append(g.addresses, serve(number, i.Handler()))
		done := make(chan error, 1)
		go i.Run(ctx, done)
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
	return g
}

// memoryGroup starts three instances on a network in memory.
func memoryGroup(t *testing.T) *group {
	network := standin.NewNetwork()
	return newGroup(t, network, func(number int, handler http.Handler) model.Address {
		address := fmt.Sprintf("10.0.0.%d:1", number)
		network.Set(address, handler)
		return model.Address(address)
	})
}

// loopbackGroup starts three instances on loopback.
func loopbackGroup(t *testing.T) *group {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return newGroup(t, transport, func(_ int, handler http.Handler) model.Address {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return model.Address(server.Listener.Addr().String())
	})
}

// client returns a client of one instance in a host's name.
func (g *group) client(number int, host model.HostID) *endpoint.Client {
	client := endpoint.NewClient()
	client.Host = host
	client.Target = model.Instance{ID: g.instances[number].ID, Address: g.addresses[number]}
	client.HTTP = &http.Client{Transport: g.transport}
	return client
}

// open opens a connection to an instance in term 1.
func (g *group) open(number int) endpoint.Conn {
	g.t.Helper()
	return g.openIn(number, 1)
}

// openIn opens a connection to an instance in a term.
func (g *group) openIn(number int, term model.Term) endpoint.Conn {
	g.t.Helper()
	opened, _, err := g.client(number, "h1").Open(context.Background(), "h1", "fees", term)
	if err != nil {
		g.t.Fatalf("open: got %v, want a connection", err)
	}
	return opened
}

// fault sets the faults of an instance.
func (g *group) fault(number int, faults fault.Faults) {
	g.instances[number].Faults.Set(faults)
}

// work returns a statement as work under a request id.
func work(request model.RequestID, access model.Access, operation string, arguments map[string]string) model.Work {
	return model.Work{
		Request:   request,
		Statement: model.Statement{Kind: "test", Access: access, Operation: operation, Arguments: arguments},
	}
}

// offer, register and pay are the writes that the tests use.
func offer(request model.RequestID) model.Work {
	return work(request, model.Write, "offer", map[string]string{"section": "s", "capacity": "1"})
}

func register(request model.RequestID, resident string) model.Work {
	return work(request, model.Write, "register", map[string]string{"section": "s", "resident": resident})
}

func pay(request model.RequestID) model.Work {
	return work(request, model.Write, "pay", map[string]string{"section": "s", "resident": "ann", "cents": "100"})
}

// seat reads a resident's seat once the instance holds the point.
func seat(least model.Point, wait time.Duration) model.Work {
	w := work("read", model.Read, "seat", map[string]string{"section": "s", "resident": "ann"})
	w.MinPoint = least
	w.MaxWait = wait
	return w
}

// text tells the outcome of a call in few words.
func text(result model.Result, err error) string {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return fmt.Sprintf("%s notRun=%v", refusal.Code, refusal.NotRun)
	}
	if err != nil {
		return err.Error()
	}
	if !result.Done {
		return "failed: " + result.FailureReason
	}
	said := "done"
	if result.Repeated {
		said = "repeated"
	}
	if len(result.Rows) > 0 && result.Rows[0]["payments"] != "" {
		said += " payments=" + result.Rows[0]["payments"]
	}
	return said
}

// run runs work on a connection in a term and tells its outcome.
func run(on endpoint.Conn, term model.Term, w model.Work) string {
	result, _, err := on.Run(context.Background(), term, w)
	return text(result, err)
}
