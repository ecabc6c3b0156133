package capacity

import (
	"bufio"
	"cmp"
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

// DeploymentCost is the cost of real daemons, run in this process, at one size of a measurement.
type DeploymentCost struct {
	Size        int     `json:"size"`         // number of daemons or of connections, or reads per second
	CPUShare    float64 `json:"cpu_share"`    // CPU time as a fraction of one core
	Memory      Bytes   `json:"memory_bytes"` // growth of the heap and the stacks in use
	FailedReads int     `json:"refused"`

	FirstFailure error `json:"-"` // of a read; nil when none failed
}

// Sizes at which deployments are measured.
var (
	daemonSizes     = []int{2, 4, 8, 12, 16}           // number of daemons
	connectionSizes = []int{200, 400, 800, 1600, 3200} // callers' connections to one daemon
	statementRates  = []int{100, 200, 400, 600, 800}   // reads per second
)

// Times and parallelism of the measurements of deployments.
const (
	readyTimeout = 20 * time.Second
	idleDuration = 5 * time.Second
	loadDuration = 4 * time.Second
	loadWorkers  = 16 // concurrent readers
)

// deploymentPlan returns the plan of a small deployment whose instances are fast and large enough not to be the bottleneck.
func deploymentPlan(hosts int) local.Plan {
	plan := local.LibraryPlan()
	plan.Hosts = hosts
	plan.Slots = 64
	plan.Connections = 256
	plan.ServiceTime = 0
	plan.ConnectionCost = 0
	return plan
}

// withDeployment starts a deployment, waits until it is ready, runs the measurement on it and stops it.
func withDeployment(ctx context.Context, hosts int, measure func(*local.Deployment) error) (err error) {
	deployment := local.New(deploymentPlan(hosts))
	deployment.StopLimit = time.Second
	if err := deployment.Start(ctx); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, deployment.Stop()) }()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := deployment.AwaitReady(readyCtx); err != nil {
		return err
	}
	return measure(deployment)
}

// memoryInUse returns the size of the heap and the stacks in use.
func memoryInUse() Bytes {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return Bytes(stats.HeapInuse + stats.StackInuse)
}

// MeasureIdle measures the CPU time and memory of idle daemons, including their stand-ins for the platform and the endpoints.
func MeasureIdle(ctx context.Context, daemons int) (cost DeploymentCost, err error) {
	cost.Size = daemons
	memoryBefore := memoryInUse()
	err = withDeployment(ctx, daemons, func(*local.Deployment) error {
		startCPU := cpuTime()
		if err := clock.Pause(ctx, idleDuration); err != nil {
			return err
		}
		cost.CPUShare = (cpuTime() - startCPU).Seconds() / idleDuration.Seconds()
		cost.Memory = memoryInUse() - memoryBefore
		return nil
	})
	return cost, err
}

// MeasureConnections measures the memory of idle caller connections to one daemon, at rising numbers of connections.
func MeasureConnections(ctx context.Context, sizes []int) (costs []DeploymentCost, err error) {
	err = withDeployment(ctx, 2, func(deployment *local.Deployment) error {
		address := deployment.Hosts[0].Settings.CallerAddress
		var open []net.Conn
		defer func() {
			for _, conn := range open {
				conn.Close()
			}
		}()
		memoryBefore := memoryInUse()
		for _, size := range sizes {
			for len(open) < size {
				conn, err := openIdleConnection(ctx, address)
				if err != nil {
					return err
				}
				open = append(open, conn)
			}
			costs = append(costs, DeploymentCost{Size: size, Memory: memoryInUse() - memoryBefore})
		}
		return nil
	})
	return costs, err
}

// openIdleConnection opens a connection that has served one request.
func openIdleConnection(ctx context.Context, address model.Address) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "GET /v1/health HTTP/1.1\r\nHost: %s\r\n\r\n", address); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return conn, errors.Join(err, response.Body.Close())
}

// MeasureStatements measures the CPU time of reads through a daemon and of the same reads sent directly to the instances, at
// rising rates.
func MeasureStatements(ctx context.Context, rates []int) (proxied, direct []DeploymentCost, err error) {
	err = withDeployment(ctx, 4, func(deployment *local.Deployment) error {
		for _, rate := range rates {
			proxied = append(proxied, generateLoad(ctx, rate, proxiedReads(deployment)))
			newReader, err := directReads(ctx, deployment)
			if err != nil {
				return err
			}
			direct = append(direct, generateLoad(ctx, rate, newReader))
		}
		return nil
	})
	return proxied, direct, err
}

// readerFactory creates the function with which one worker executes its reads.
type readerFactory func() func(ctx context.Context) error

// proxiedReads returns readers that read through one daemon, each in its own session.
func proxiedReads(deployment *local.Deployment) readerFactory {
	caller := client.New(deployment.Hosts[0].Settings.CallerAddress)
	caller.Transport = outbound.NewTransport()
	return func() func(ctx context.Context) error {
		session := caller.Session()
		count := 0
		return func(ctx context.Context) error {
			count++
			_, err := session.Run(ctx, client.Statement{
				Database:  deployment.Plan.Databases[count%len(deployment.Plan.Databases)],
				Kind:      "catalogue",
				Operation: "catalogue",
				Read:      true,
				Arguments: map[string]string{"branch": "north"},
			})
			return err
		}
	}
}

// directReads returns readers that read directly from the instances, without a daemon.
func directReads(ctx context.Context, deployment *local.Deployment) (readerFactory, error) {
	transport := outbound.NewTransport()
	var clients []*endpoint.Client
	var terms []model.Term
	for _, instance := range deployment.Instances {
		instanceClient := endpoint.NewClient()
		instanceClient.Host = "direct"
		instanceClient.Target = model.Instance{ID: instance.ID, Database: instance.Database, Address: instance.Address}
		instanceClient.HTTP = &http.Client{Transport: transport}
		state, err := instanceClient.State(ctx)
		if err != nil {
			return nil, err
		}
		clients = append(clients, instanceClient)
		terms = append(terms, state.Term)
	}
	worker := 0
	return func() func(ctx context.Context) error {
		worker++
		index := worker % len(clients)
		return readInstance(clients[index], terms[index])
	}, nil
}

// readInstance returns a function that reads from an instance over one connection, which it opens at the first read, and again
// when the instance has got to know another term.
func readInstance(instance *endpoint.Client, term model.Term) func(ctx context.Context) error {
	var conn endpoint.Conn
	work := model.Work{Request: "direct", Statement: model.Statement{
		Kind: "catalogue", Access: model.Read, Operation: "catalogue", Arguments: map[string]string{"branch": "north"},
	}}
	read := func(ctx context.Context) error {
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
	return func(ctx context.Context) error {
		err := read(ctx)
		if model.CodeOf(err) != model.CodeWrongTerm {
			return err
		}
		state, stateErr := instance.State(ctx)
		if stateErr != nil {
			return stateErr
		}
		term, conn = state.Term, nil
		return read(ctx)
	}
}

// generateLoad reads at the given rate, in reads per second, from several workers whose reads are evenly spaced in time.
func generateLoad(ctx context.Context, rate int, newReader readerFactory) DeploymentCost {
	cost := DeploymentCost{Size: rate}
	interval := time.Duration(loadWorkers) * time.Second / time.Duration(rate)
	failures := make([]int, loadWorkers)
	reasons := make([]error, loadWorkers) // first failure of each worker
	startCPU, start := cpuTime(), time.Now()
	var workers sync.WaitGroup
	for worker := range loadWorkers {
		read := newReader()
		offset := interval * time.Duration(worker) / loadWorkers
		workers.Go(func() {
			for at := offset; at < loadDuration; at += interval {
				if clock.Pause(ctx, time.Until(start.Add(at))) != nil {
					return
				}
				if err := read(ctx); err != nil {
					failures[worker]++
					reasons[worker] = cmp.Or(reasons[worker], err)
				}
			}
		})
	}
	workers.Wait()
	cost.CPUShare = (cpuTime() - startCPU).Seconds() / time.Since(start).Seconds()
	for worker, count := range failures {
		cost.FailedReads += count
		cost.FirstFailure = cmp.Or(cost.FirstFailure, reasons[worker])
	}
	return cost
}
