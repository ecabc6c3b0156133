package capacity

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/endpoint"
	"redwingspread/internal/local"
	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/pkg/client"
)

// DeploymentCost is the cost of real daemons in this process at one size.
type DeploymentCost struct {
	Size     int     `json:"size"`
	CPUShare float64 `json:"cpu_share"` // of one core
	Memory   Bytes   `json:"memory_bytes"`
	Refused  int     `json:"refused"`
}

// The sizes of live measures.
var (
	daemonSizes     = []int{2, 4, 8, 12, 16}           // daemons
	connectionSizes = []int{200, 400, 800, 1600, 3200} // callers' connections of one daemon
	statementRates  = []int{100, 200, 400, 600, 800}   // reads a second through one daemon
)

// The times of live measures.
const (
	readyTimeout = 20 * time.Second
	idleDuration = 5 * time.Second
	loadDuration = 4 * time.Second
	loadWorkers  = 16
)

// deploymentPlan returns a small deployment whose instances are never the limit.
func deploymentPlan(hosts int) local.Plan {
	plan := local.Library()
	plan.Hosts = hosts
	plan.Slots = 64
	plan.Connections = 256
	plan.ServiceTime = 0
	plan.ConnectionCost = 0
	return plan
}

// withDeployment runs a measure on a deployment that is ready.
func withDeployment(ctx context.Context, hosts int, measure func(*local.Deployment) error) (err error) {
	deployment := local.New(deploymentPlan(hosts))
	deployment.StopLimit = time.Second
	if err := deployment.Start(ctx); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, deployment.Stop()) }()
	limit, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := deployment.Ready(limit); err != nil {
		return err
	}
	return measure(deployment)
}

// memoryInUse returns the bytes of heap and stacks that are in use.
func memoryInUse() Bytes {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return Bytes(stats.HeapInuse + stats.StackInuse)
}

// MeasureIdle measures the processor time and memory of idle daemons with their stand-ins.
func MeasureIdle(ctx context.Context, daemons int) (live DeploymentCost, err error) {
	live.Size = daemons
	before := memoryInUse()
	err = withDeployment(ctx, daemons, func(*local.Deployment) error {
		begin := processorTime()
		if err := clock.Pause(ctx, idleDuration); err != nil {
			return err
		}
		live.CPUShare = (processorTime() - begin).Seconds() / idleDuration.Seconds()
		live.Memory = memoryInUse() - before
		return nil
	})
	return live, err
}

// MeasureConnections measures the memory of rising numbers of callers' idle connections to one daemon.
func MeasureConnections(ctx context.Context, sizes []int) (points []DeploymentCost, err error) {
	err = withDeployment(ctx, 2, func(d *local.Deployment) error {
		address := d.Hosts[0].Settings.CallerAddress
		var open []net.Conn
		defer func() {
			for _, conn := range open {
				conn.Close()
			}
		}()
		before := memoryInUse()
		for _, size := range sizes {
			for len(open) < size {
				conn, err := openIdleConnection(ctx, address)
				if err != nil {
					return err
				}
				open = append(open, conn)
			}
			points = append(points, DeploymentCost{Size: size, Memory: memoryInUse() - before})
		}
		return nil
	})
	return points, err
}

// openIdleConnection opens a connection, which has served one request.
func openIdleConnection(ctx context.Context, address model.Address) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "GET /v1/health HTTP/1.1\r\nHost: %s\r\n\r\n", address); err != nil {
		return nil, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return conn, errors.Join(err, answer.Body.Close())
}

// MeasureStatements measures the processor time of reads at rising rates through a daemon, and of the same reads without the system.
func MeasureStatements(ctx context.Context, rates []int) (through, direct []DeploymentCost, err error) {
	err = withDeployment(ctx, 4, func(d *local.Deployment) error {
		for _, rate := range rates {
			through = append(through, generateLoad(ctx, rate, proxiedReads(d)))
			reader, err := directReads(ctx, d)
			if err != nil {
				return err
			}
			direct = append(direct, generateLoad(ctx, rate, reader))
		}
		return nil
	})
	return through, direct, err
}

// readerFactory returns the function with which one worker reads.
type readerFactory func() func(ctx context.Context) error

// proxiedReads reads through one daemon, each worker in a session of its own.
func proxiedReads(d *local.Deployment) readerFactory {
	caller := client.New(d.Hosts[0].Settings.CallerAddress)
	caller.Transport = outbound.NewTransport()
	return func() func(ctx context.Context) error {
		session := caller.Session()
		turn := 0
		return func(ctx context.Context) error {
			turn++
			_, err := session.Run(ctx, client.Statement{
				Database:  d.Plan.Databases[turn%len(d.Plan.Databases)],
				Kind:      "catalogue",
				Operation: "catalogue",
				Read:      true,
				Arguments: map[string]string{"branch": "north"},
			})
			return err
		}
	}
}

// directReads reads on the primaries without the system.
func directReads(ctx context.Context, d *local.Deployment) (readerFactory, error) {
	transport := outbound.NewTransport()
	var clients []*endpoint.Client
	var terms []model.Term
	for _, one := range d.Instances {
		made := endpoint.NewClient()
		made.Host = "direct"
		made.Target = model.Instance{ID: one.ID, Database: one.Database, Address: one.Address}
		made.HTTP = &http.Client{Transport: transport}
		state, err := made.State(ctx)
		if err != nil {
			return nil, err
		}
		clients = append(clients, made)
		terms = append(terms, state.Term)
	}
	worker := 0
	return func() func(ctx context.Context) error {
		worker++
		at := worker % len(clients)
		return readInstance(clients[at], terms[at])
	}, nil
}

// readInstance returns a function that reads on one connection of an instance.
func readInstance(instance *endpoint.Client, term model.Term) func(ctx context.Context) error {
	var conn endpoint.Conn
	work := model.Work{Request: "direct", Statement: model.Statement{
		Kind: "catalogue", Access: model.Read, Operation: "catalogue", Arguments: map[string]string{"branch": "north"},
	}}
	return func(ctx context.Context) error {
		if conn == nil {
			opened, _, err := instance.Open(ctx, "direct", instance.Target.Database, term)
			if err != nil {
				return err
			}
			conn = opened
		}
		_, _, err := conn.Run(ctx, term, work)
		return err
	}
}

// generateLoad reads at a rate from several workers, each at its own even times.
func generateLoad(ctx context.Context, rate int, open readerFactory) DeploymentCost {
	live := DeploymentCost{Size: rate}
	every := time.Duration(loadWorkers) * time.Second / time.Duration(rate)
	refused := make([]int, loadWorkers)
	begin, start := processorTime(), time.Now()
	var workers sync.WaitGroup
	for worker := range loadWorkers {
		read := open()
		offset := every * time.Duration(worker) / loadWorkers
		workers.Go(func() {
			for at := offset; at < loadDuration; at += every {
				if clock.Pause(ctx, time.Until(start.Add(at))) != nil {
					return
				}
				if read(ctx) != nil {
					refused[worker]++
				}
			}
		})
	}
	workers.Wait()
	live.CPUShare = (processorTime() - begin).Seconds() / time.Since(start).Seconds()
	for _, count := range refused {
		live.Refused += count
	}
	return live
}
