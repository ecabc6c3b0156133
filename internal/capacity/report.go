package capacity

import (
	"context"
	"fmt"
	"io"
	"time"
)

// The size of two years from now, and the budgets of a daemon's control at that size.
const (
	TargetHosts     = 1800
	TargetDatabases = 2800
	BudgetCPU       = 0.028
	BudgetHeap      = 64 << 20
	BudgetBytes     = 2000.0 // a second
	BudgetReads     = 2000.0 // of the store a second, by the whole fleet
)

// Series is one figure of the measured sizes, with the line through it.
type Series struct {
	Name    string    `json:"name"`
	Against string    `json:"against"`
	Sizes   []float64 `json:"sizes"`
	Values  []float64 `json:"figures"`
	Fit     Fit       `json:"fit"`
}

// Report is everything that was measured.
type Report struct {
	Framing     Bytes            `json:"framing_bytes"`
	ByHosts     []ControlCost    `json:"by_hosts"`     // at a fixed number of databases
	ByDatabases []ControlCost    `json:"by_databases"` // at a fixed number of hosts
	Target      ControlCost      `json:"target"`
	Propagation []Propagation    `json:"spread"`
	Idle        []DeploymentCost `json:"idle"`        // daemons with three databases
	Connections []DeploymentCost `json:"connections"` // of callers with one daemon
	Statements  []DeploymentCost `json:"statements"`  // reads through a daemon, everything in one process
	Direct      []DeploymentCost `json:"direct"`      // the same reads without the system
	Series      []Series         `json:"lines"`
	Missed      []string         `json:"missed"`
}

// The sizes that are measured.
var (
	hostSizes        = []int{100, 300, 600, 1200, TargetHosts}
	databaseSizes    = []int{175, 350, 700, 1400, TargetDatabases}
	propagationSizes = []int{10, 30, 100, 200, 400}
)

// The sizes that are kept fixed.
const (
	fixedDatabases = 700
	fixedHosts     = 600
)

// Measure measures all sizes and tells its progress.
func Measure(ctx context.Context, seed uint64, progress io.Writer) (report Report, err error) {
	report.Framing, err = MeasureFraming(ctx)
	if err != nil {
		return report, err
	}
	for _, hosts := range hostSizes {
		fmt.Fprintf(progress, "control with %d hosts and %d databases\n", hosts, fixedDatabases)
		report.ByHosts = append(report.ByHosts, MeasureControlCost(hosts, fixedDatabases, report.Framing))
	}
	for _, databases := range databaseSizes {
		fmt.Fprintf(progress, "control with %d hosts and %d databases\n", fixedHosts, databases)
		report.ByDatabases = append(report.ByDatabases, MeasureControlCost(fixedHosts, databases, report.Framing))
	}
	fmt.Fprintf(progress, "control with %d hosts and %d databases\n", TargetHosts, TargetDatabases)
	report.Target = MeasureControlCost(TargetHosts, TargetDatabases, report.Framing)
	for _, hosts := range propagationSizes {
		fmt.Fprintf(progress, "spread among %d hosts\n", hosts)
		spread, err := MeasurePropagation(hosts, seed)
		if err != nil {
			return report, err
		}
		report.Propagation = append(report.Propagation, spread)
	}
	if err := report.measureDeployments(ctx, progress); err != nil {
		return report, err
	}
	report.fitSeries()
	report.checkBudgets()
	return report, nil
}

// measureDeployments measures real daemons in this process.
func (r *Report) measureDeployments(ctx context.Context, progress io.Writer) (err error) {
	for _, daemons := range daemonSizes {
		fmt.Fprintf(progress, "%d idle daemons\n", daemons)
		live, err := MeasureIdle(ctx, daemons)
		if err != nil {
			return err
		}
		r.Idle = append(r.Idle, live)
	}
	fmt.Fprintf(progress, "callers' connections\n")
	if r.Connections, err = MeasureConnections(ctx, connectionSizes); err != nil {
		return err
	}
	fmt.Fprintf(progress, "statements\n")
	r.Statements, r.Direct, err = MeasureStatements(ctx, statementRates)
	return err
}

// metric is one figure of a measured point.
type metric[P any] struct {
	name  string
	value func(P) float64
}

// controlMetrics are the figures of control that lines are drawn through.
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

// propagationMetrics are the figures of spreading that lines are drawn through.
var propagationMetrics = []metric[Propagation]{
	{"configuration in force everywhere, ms", func(s Propagation) float64 { return milliseconds(s.ConfigurationWorst) }},
	{"death known to the median host, ms", func(s Propagation) float64 { return milliseconds(s.DeathMedian) }},
	{"death known everywhere, ms", func(s Propagation) float64 { return milliseconds(s.DeathWorst) }},
}

// The figures of live measures that lines are drawn through.
var (
	cpuMetric    = metric[DeploymentCost]{"processor, % of a core", func(l DeploymentCost) float64 { return 100 * l.CPUShare }}
	memoryMetric = metric[DeploymentCost]{"memory, KB", func(l DeploymentCost) float64 { return float64(l.Memory) / 1000 }}
)

// deploymentSize returns the size of a live point.
func deploymentSize(live DeploymentCost) int {
	return live.Size
}

// fitSeries draws the lines.
func (r *Report) fitSeries() {
	r.Series = append(r.Series, newSeries(r.ByHosts, "hosts", controlMetrics, func(c ControlCost) int { return c.Hosts })...)
	r.Series = append(r.Series, newSeries(r.ByDatabases, "databases", controlMetrics, func(c ControlCost) int { return c.Databases })...)
	r.Series = append(r.Series, newSeries(r.Propagation, "hosts", propagationMetrics, func(s Propagation) int { return s.Hosts })...)
	r.Series = append(r.Series, newSeries(r.Idle, "idle daemons", []metric[DeploymentCost]{cpuMetric, memoryMetric}, deploymentSize)...)
	r.Series = append(r.Series, newSeries(r.Connections, "callers' connections", []metric[DeploymentCost]{memoryMetric}, deploymentSize)...)
	r.Series = append(r.Series, newSeries(r.Statements, "reads a second through a daemon", []metric[DeploymentCost]{cpuMetric}, deploymentSize)...)
	r.Series = append(r.Series, newSeries(r.Direct, "reads a second without the system", []metric[DeploymentCost]{cpuMetric}, deploymentSize)...)
}

// newSeries draws one line for each figure of the points.
func newSeries[P any](points []P, against string, figures []metric[P], size func(P) int) []Series {
	var drawn []Series
	for _, figure := range figures {
		line := Series{Name: figure.name, Against: against}
		for _, point := range points {
			line.Sizes = append(line.Sizes, float64(size(point)))
			line.Values = append(line.Values, figure.value(point))
		}
		line.Fit = NewFit(line.Sizes, line.Values)
		drawn = append(drawn, line)
	}
	return drawn
}

// checkBudgets lists the budgets that the target size misses.
func (r *Report) checkBudgets() {
	target := r.Target
	budgets := []struct {
		name        string
		got, budget float64
	}{
		{"processor, share of a core", target.CPUShare, BudgetCPU},
		{"state in bytes", float64(target.Heap), BudgetHeap},
		{"bytes a second", target.PeerBytes + target.ProbeBytes + target.StoreBytes, BudgetBytes},
		{"store reads a second of the fleet", target.StoreReads * TargetHosts, BudgetReads},
	}
	for _, budget := range budgets {
		if budget.got > budget.budget {
			r.Missed = append(r.Missed, fmt.Sprintf("%s: %.4g, budget %.4g", budget.name, budget.got, budget.budget))
		}
	}
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "headers of one call, both ways: %d bytes\n", r.Framing)
	for _, line := range r.Series {
		fmt.Fprintf(out, "%s against %s\n  sizes   %v\n  figures %.5g\n", line.Name, line.Against, line.Sizes, line.Values)
		fmt.Fprintf(out, "  fit %.4g + %.4g a unit, residual %.3g, R2 %.3f\n", line.Fit.Intercept, line.Fit.Slope, line.Fit.Residual, line.Fit.R2)
	}
	for _, spread := range r.Propagation {
		if spread.Missing > 0 {
			fmt.Fprintf(out, "spread among %d hosts: %d hosts learnt nothing\n", spread.Hosts, spread.Missing)
		}
	}
	for _, live := range append(r.Statements, r.Direct...) {
		if live.Refused > 0 {
			fmt.Fprintf(out, "at %d reads a second %d were refused\n", live.Size, live.Refused)
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
