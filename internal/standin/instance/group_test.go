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

// group is the three instances of a database; the first is the primary.
type group struct {
	t         *testing.T
	transport http.RoundTripper
	addresses []model.Address
	instances []*instance.Instance
}

// serve starts serving a handler and returns its address.
type serve func(number int, handler http.Handler) model.Address

// newGroup starts three instances that the transport reaches.
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

// memoryGroup starts three instances on an in-memory network.
func memoryGroup(t *testing.T) *group {
	network := standin.NewNetwork()
	return newGroup(t, network, func(number int, handler http.Handler) model.Address {
		address := fmt.Sprintf("10.0.0.%d:1", number)
		network.SetHandler(address, handler)
		return model.Address(address)
	})
}

// loopbackGroup starts three instances on the loopback interface.
func loopbackGroup(t *testing.T) *group {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return newGroup(t, transport, func(_ int, handler http.Handler) model.Address {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return model.Address(server.Listener.Addr().String())
	})
}

// client returns a client of one instance that identifies itself as a host.
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
	connection, _, err := g.client(number, "h1").Open(context.Background(), "h1", "fees", term)
	if err != nil {
		g.t.Fatalf("open: got %v, want a connection", err)
	}
	return connection
}

// fault replaces the faults of an instance.
func (g *group) fault(number int, faults fault.Faults) {
	g.instances[number].Faults.Set(faults)
}

// work returns a statement with a request id as work.
func work(request model.RequestID, access model.Access, operation string, arguments map[string]string) model.Work {
	return model.Work{
		Request:   request,
		Statement: model.Statement{Kind: "test", Access: access, Operation: operation, Arguments: arguments},
	}
}

// offer, register and pay return the writes that the tests use.
func offer(request model.RequestID) model.Work {
	return work(request, model.Write, "offer", map[string]string{"section": "s", "capacity": "1"})
}

func register(request model.RequestID, resident string) model.Work {
	return work(request, model.Write, "register", map[string]string{"section": "s", "resident": resident})
}

func pay(request model.RequestID) model.Work {
	return work(request, model.Write, "pay", map[string]string{"section": "s", "resident": "ann", "cents": "100"})
}

// seat returns a read of a resident's registration that requires a point and waits for it.
func seat(point model.Point, wait time.Duration) model.Work {
	w := work("read", model.Read, "seat", map[string]string{"section": "s", "resident": "ann"})
	w.MinPoint = point
	w.MaxWait = wait
	return w
}

// text describes the outcome of a call.
func text(result model.Result, err error) string {
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return fmt.Sprintf("%s notRun=%v", refusal.Code, refusal.NotRun)
	}
	if err != nil {
		return err.Error()
	}
	if !result.Succeeded {
		return "failed: " + result.FailureReason
	}
	description := "done"
	if result.Repeated {
		description = "repeated"
	}
	if len(result.Rows) > 0 && result.Rows[0]["payments"] != "" {
		description += " payments=" + result.Rows[0]["payments"]
	}
	return description
}

// run runs work on a connection in a term and describes its outcome.
func run(connection endpoint.Conn, term model.Term, w model.Work) string {
	result, _, err := connection.Run(context.Background(), term, w)
	return text(result, err)
}
