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

// Line is one figure of the measured sizes, with the line through it.
type Line struct {
	Name    string    `json:"name"`
	Against string    `json:"against"`
	Sizes   []float64 `json:"sizes"`
	Figures []float64 `json:"figures"`
	Fit     Fit       `json:"fit"`
}

// Report is everything that was measured.
type Report struct {
	Framing     Bytes     `json:"framing_bytes"`
	ByHosts     []Control `json:"by_hosts"`     // at a fixed number of databases
	ByDatabases []Control `json:"by_databases"` // at a fixed number of hosts
	Target      Control   `json:"target"`
	Spread      []Spread  `json:"spread"`
	Idle        []Live    `json:"idle"`        // daemons with three databases
	Connections []Live    `json:"connections"` // of callers with one daemon
	Statements  []Live    `json:"statements"`  // reads through a daemon, everything in one process
	Direct      []Live    `json:"direct"`      // the same reads without the system
	Lines       []Line    `json:"lines"`
	Missed      []string  `json:"missed"`
}

// The sizes that are measured.
var (
	hostSizes     = []int{100, 300, 600, 1200, TargetHosts}
	databaseSizes = []int{175, 350, 700, 1400, TargetDatabases}
	spreadSizes   = []int{10, 30, 100, 200, 400}
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
		report.ByHosts = append(report.ByHosts, MeasureControl(hosts, fixedDatabases, report.Framing))
	}
	for _, databases := range databaseSizes {
		fmt.Fprintf(progress, "control with %d hosts and %d databases\n", fixedHosts, databases)
		report.ByDatabases = append(report.ByDatabases, MeasureControl(fixedHosts, databases, report.Framing))
	}
	fmt.Fprintf(progress, "control with %d hosts and %d databases\n", TargetHosts, TargetDatabases)
	report.Target = MeasureControl(TargetHosts, TargetDatabases, report.Framing)
	for _, hosts := range spreadSizes {
		fmt.Fprintf(progress, "spread among %d hosts\n", hosts)
		spread, err := MeasureSpread(hosts, seed)
		if err != nil {
			return report, err
		}
		report.Spread = append(report.Spread, spread)
	}
	if err := report.measureLive(ctx, progress); err != nil {
		return report, err
	}
	report.fit()
	report.judge()
	return report, nil
}

// measureLive measures real daemons in this process.
func (r *Report) measureLive(ctx context.Context, progress io.Writer) (err error) {
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

// figure is one figure of a measured point.
type figure[P any] struct {
	name string
	of   func(P) float64
}

// controlFigures are the figures of control that lines are drawn through.
var controlFigures = []figure[Control]{
	{"processor, % of a core", func(c Control) float64 { return 100 * c.CPUShare }},
	{"joining, ms of processor time", func(c Control) float64 { return milliseconds(c.JoinCPU) }},
	{"state, KB", func(c Control) float64 { return float64(c.Heap) / 1000 }},
	{"heartbeats a second", func(c Control) float64 { return c.BeatsPerSecond }},
	{"probes a second", func(c Control) float64 { return c.Probes }},
	{"store reads a second", func(c Control) float64 { return c.StoreReads }},
	{"bytes a second with hosts", func(c Control) float64 { return c.PeerBytes }},
	{"bytes a second with instances", func(c Control) float64 { return c.ProbeBytes }},
	{"bytes a second with the store", func(c Control) float64 { return c.StoreBytes }},
}

// spreadFigures are the figures of spreading that lines are drawn through.
var spreadFigures = []figure[Spread]{
	{"configuration in force everywhere, ms", func(s Spread) float64 { return milliseconds(s.ConfigurationWorst) }},
	{"death known to the median host, ms", func(s Spread) float64 { return milliseconds(s.DeathMedian) }},
	{"death known everywhere, ms", func(s Spread) float64 { return milliseconds(s.DeathWorst) }},
}

// The figures of live measures that lines are drawn through.
var (
	liveCPU    = figure[Live]{"processor, % of a core", func(l Live) float64 { return 100 * l.CPUShare }}
	liveMemory = figure[Live]{"memory, KB", func(l Live) float64 { return float64(l.Memory) / 1000 }}
)

// sizeOfLive returns the size of a live point.
func sizeOfLive(live Live) int {
	return live.Size
}

// fit draws the lines.
func (r *Report) fit() {
	r.Lines = append(r.Lines, lines(r.ByHosts, "hosts", controlFigures, func(c Control) int { return c.Hosts })...)
	r.Lines = append(r.Lines, lines(r.ByDatabases, "databases", controlFigures, func(c Control) int { return c.Databases })...)
	r.Lines = append(r.Lines, lines(r.Spread, "hosts", spreadFigures, func(s Spread) int { return s.Hosts })...)
	r.Lines = append(r.Lines, lines(r.Idle, "idle daemons", []figure[Live]{liveCPU, liveMemory}, sizeOfLive)...)
	r.Lines = append(r.Lines, lines(r.Connections, "callers' connections", []figure[Live]{liveMemory}, sizeOfLive)...)
	r.Lines = append(r.Lines, lines(r.Statements, "reads a second through a daemon", []figure[Live]{liveCPU}, sizeOfLive)...)
	r.Lines = append(r.Lines, lines(r.Direct, "reads a second without the system", []figure[Live]{liveCPU}, sizeOfLive)...)
}

// lines draws one line for each figure of the points.
func lines[P any](points []P, against string, figures []figure[P], size func(P) int) []Line {
	var drawn []Line
	for _, figure := range figures {
		line := Line{Name: figure.name, Against: against}
		for _, point := range points {
			line.Sizes = append(line.Sizes, float64(size(point)))
			line.Figures = append(line.Figures, figure.of(point))
		}
		line.Fit = NewFit(line.Sizes, line.Figures)
		drawn = append(drawn, line)
	}
	return drawn
}

// judge lists the budgets that the target size misses.
func (r *Report) judge() {
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
	for _, line := range r.Lines {
		fmt.Fprintf(out, "%s against %s\n  sizes   %v\n  figures %.5g\n", line.Name, line.Against, line.Sizes, line.Figures)
		fmt.Fprintf(out, "  fit %.4g + %.4g a unit, residual %.3g, R2 %.3f\n", line.Fit.Intercept, line.Fit.Slope, line.Fit.Residual, line.Fit.R2)
	}
	for _, spread := range r.Spread {
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
