package capacity

import (
	"context"
	"fmt"
	"io"
	"time"
)

// The fleet size expected in two years, and the budgets of one daemon's control loop at that size.
const (
	TargetHosts     = 1800
	TargetDatabases = 2800
	BudgetCPU       = 0.028    // fraction of one core
	BudgetHeap      = 64 << 20 // bytes
	BudgetBytes     = 2000.0   // bytes sent and received per second
	BudgetReads     = 2000.0   // store reads per second by the whole fleet
)

// Series is one metric at rising sizes, with the line fitted to it.
type Series struct {
	Name    string    `json:"name"`    // name and unit of the metric
	Against string    `json:"against"` // what the sizes count
	Sizes   []float64 `json:"sizes"`
	Values  []float64 `json:"figures"`
	Fit     Fit       `json:"fit"`
}

// Report holds the results of all measurements.
type Report struct {
	Framing     Bytes            `json:"framing_bytes"` // HTTP overhead of one call, request and response
	ByHosts     []ControlCost    `json:"by_hosts"`      // at a fixed number of databases
	ByDatabases []ControlCost    `json:"by_databases"`  // at a fixed number of hosts
	Target      ControlCost      `json:"target"`        // at the target size
	Propagation []Propagation    `json:"spread"`
	Idle        []DeploymentCost `json:"idle"`        // at rising numbers of daemons, with three databases
	Connections []DeploymentCost `json:"connections"` // at rising numbers of callers' connections to one daemon
	Statements  []DeploymentCost `json:"statements"`  // reads through a daemon, with all daemons and stand-ins in this process
	Direct      []DeploymentCost `json:"direct"`      // the same reads, sent directly to the instances
	Series      []Series         `json:"lines"`
	Missed      []string         `json:"missed"` // budgets that are exceeded at the target size
}

// Sizes at which the simulated fleets are measured.
var (
	hostSizes        = []int{100, 300, 600, 1200, TargetHosts}
	databaseSizes    = []int{175, 350, 700, 1400, TargetDatabases}
	propagationSizes = []int{10, 30, 100, 200, 400}
)

// Sizes that stay fixed while the other one rises.
const (
	fixedDatabases = 700
	fixedHosts     = 600
)

// Measure runs all measurements and writes its progress as text.
func Measure(ctx context.Context, seed uint64, progress io.Writer) (report Report, err error) {
	report.Framing, err = MeasureFraming(ctx)
	if err != nil {
		return report, err
	}
	for _, hosts := range hostSizes {
		fmt.Fprintf(progress, "control loop with %d hosts and %d databases\n", hosts, fixedDatabases)
		report.ByHosts = append(report.ByHosts, MeasureControlCost(hosts, fixedDatabases, report.Framing))
	}
	for _, databases := range databaseSizes {
		fmt.Fprintf(progress, "control loop with %d hosts and %d databases\n", fixedHosts, databases)
		report.ByDatabases = append(report.ByDatabases, MeasureControlCost(fixedHosts, databases, report.Framing))
	}
	fmt.Fprintf(progress, "control loop with %d hosts and %d databases\n", TargetHosts, TargetDatabases)
	report.Target = MeasureControlCost(TargetHosts, TargetDatabases, report.Framing)
	for _, hosts := range propagationSizes {
		fmt.Fprintf(progress, "propagation among %d hosts\n", hosts)
		propagation, err := MeasurePropagation(hosts, seed)
		if err != nil {
			return report, err
		}
		report.Propagation = append(report.Propagation, propagation)
	}
	if err := report.measureDeployments(ctx, progress); err != nil {
		return report, err
	}
	report.fitSeries()
	report.checkBudgets()
	return report, nil
}

// measureDeployments measures real daemons, run in this process.
func (r *Report) measureDeployments(ctx context.Context, progress io.Writer) (err error) {
	for _, daemons := range daemonSizes {
		fmt.Fprintf(progress, "%d idle daemons\n", daemons)
		cost, err := MeasureIdle(ctx, daemons)
		if err != nil {
			return err
		}
		r.Idle = append(r.Idle, cost)
	}
	fmt.Fprintf(progress, "callers' connections\n")
	if r.Connections, err = MeasureConnections(ctx, connectionSizes); err != nil {
		return err
	}
	fmt.Fprintf(progress, "statements\n")
	r.Statements, r.Direct, err = MeasureStatements(ctx, statementRates)
	return err
}

// metric is one named value of a measurement.
type metric[P any] struct {
	name  string
	value func(P) float64
}

// controlMetrics are the metrics of the control loop that lines are fitted to.
var controlMetrics = []metric[ControlCost]{
	{"processor, % of a core", func(c ControlCost) float64 { return 100 * c.CPUShare }},
	{"joining, ms of processor time", func(c ControlCost) float64 { return milliseconds(c.JoinCPU) }},
	{"state, KB", func(c ControlCost) float64 { return float64(c.Heap) / 1000 }},
	{"heartbeats a second", func(c ControlCost) float64 { return c.BeatsPerSecond }},
	{"probes a second", func(c ControlCost) float64 { return c.Probes }},
	{"store reads a second", func(c ControlCost) float64 { return c.StoreReads }},
	{"bytes a second with hosts", func(c ControlCost) float64 { return c.PeerBytes }},
	{"bytes a second with instances", func(c ControlCost) float64 { return c.ProbeBytes }},
	{"bytes a second with the store", func(c ControlCost) float64 { return c.StoreBytes }},
}

// propagationMetrics are the metrics of propagation that lines are fitted to.
var propagationMetrics = []metric[Propagation]{
	{"configuration in force everywhere, ms", func(p Propagation) float64 { return milliseconds(p.ConfigurationWorst) }},
	{"death known to the median host, ms", func(p Propagation) float64 { return milliseconds(p.DeathMedian) }},
	{"death known everywhere, ms", func(p Propagation) float64 { return milliseconds(p.DeathWorst) }},
}

// Metrics of deployments that lines are fitted to.
var (
	cpuMetric    = metric[DeploymentCost]{"processor, % of a core", func(c DeploymentCost) float64 { return 100 * c.CPUShare }}
	memoryMetric = metric[DeploymentCost]{"memory, KB", func(c DeploymentCost) float64 { return float64(c.Memory) / 1000 }}
)

// deploymentSize returns the size of a measurement of a deployment.
func deploymentSize(cost DeploymentCost) int {
	return cost.Size
}

// fitSeries fits a line to each metric.
func (r *Report) fitSeries() {
	r.Series = append(r.Series, newSeries(r.ByHosts, "hosts", controlMetrics, func(c ControlCost) int { return c.Hosts })...)
	r.Series = append(r.Series, newSeries(r.ByDatabases, "databases", controlMetrics, func(c ControlCost) int { return c.Databases })...)
	r.Series = append(r.Series, newSeries(r.Propagation, "hosts", propagationMetrics, func(p Propagation) int { return p.Hosts })...)
	r.Series = append(r.Series, newSeries(r.Idle, "idle daemons", []metric[DeploymentCost]{cpuMetric, memoryMetric}, deploymentSize)...)
	r.Series = append(r.Series, newSeries(r.Connections, "callers' connections", []metric[DeploymentCost]{memoryMetric}, deploymentSize)...)
	r.Series = append(r.Series, newSeries(r.Statements, "reads a second through a daemon", []metric[DeploymentCost]{cpuMetric}, deploymentSize)...)
	r.Series = append(r.Series, newSeries(r.Direct, "reads a second without the system", []metric[DeploymentCost]{cpuMetric}, deploymentSize)...)
}

// newSeries returns one series for each metric of the measurements.
func newSeries[P any](points []P, against string, metrics []metric[P], size func(P) int) []Series {
	var series []Series
	for _, metric := range metrics {
		one := Series{Name: metric.name, Against: against}
		for _, point := range points {
			one.Sizes = append(one.Sizes, float64(size(point)))
			one.Values = append(one.Values, metric.value(point))
		}
		one.Fit = NewFit(one.Sizes, one.Values)
		series = append(series, one)
	}
	return series
}

// checkBudgets sets Missed to the budgets that are exceeded at the target size.
func (r *Report) checkBudgets() {
	target := r.Target
	budgets := []struct {
		name       string
		got, limit float64
	}{
		{"processor, share of a core", target.CPUShare, BudgetCPU},
		{"state in bytes", float64(target.Heap), BudgetHeap},
		{"bytes a second", target.PeerBytes + target.ProbeBytes + target.StoreBytes, BudgetBytes},
		{"store reads a second of the fleet", target.StoreReads * TargetHosts, BudgetReads},
	}
	for _, budget := range budgets {
		if budget.got > budget.limit {
			r.Missed = append(r.Missed, fmt.Sprintf("%s: %.4g, budget %.4g", budget.name, budget.got, budget.limit))
		}
	}
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "headers of one call, both ways: %d bytes\n", r.Framing)
	for _, series := range r.Series {
		fmt.Fprintf(out, "%s against %s\n  sizes   %v\n  figures %.5g\n", series.Name, series.Against, series.Sizes, series.Values)
		fmt.Fprintf(out, "  fit %.4g + %.4g a unit, residual %.3g, R2 %.3f\n", series.Fit.Intercept, series.Fit.Slope, series.Fit.Residual, series.Fit.R2)
	}
	for _, propagation := range r.Propagation {
		if propagation.Missing > 0 {
			fmt.Fprintf(out, "propagation among %d hosts: %d hosts did not learn of a change\n", propagation.Hosts, propagation.Missing)
		}
	}
	for _, cost := range append(r.Statements, r.Direct...) {
		if cost.FailedReads > 0 {
			fmt.Fprintf(out, "at %d reads a second, %d reads failed\n", cost.Size, cost.FailedReads)
		}
	}
	fmt.Fprintf(out, "at %d hosts and %d databases: %+v\n", TargetHosts, TargetDatabases, r.Target)
	for _, missed := range r.Missed {
		fmt.Fprintf(out, "missed: %s\n", missed)
	}
}

// milliseconds returns a duration in milliseconds.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
