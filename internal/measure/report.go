package measure

import (
	"fmt"
	"io"
	"strings"
)

// Metric is one measure with its target and the figure without the system's own means.
type Metric struct {
	Value    *float64 `json:"value"` // nil when it was not taken
	Target   *float64 `json:"target"`
	AtLeast  bool     `json:"at_least"` // the target is a floor, not a ceiling
	Baseline *float64 `json:"baseline"` // nil when it was not taken
}

// met reports whether the figure keeps its target; one that was not taken keeps none.
func (f Metric) met() bool {
	switch {
	case f.Target == nil:
		return true
	case f.Value == nil:
		return false
	case f.AtLeast:
		return *f.Value >= *f.Target
	}
	return *f.Value <= *f.Target
}

// MetricName is a figure's place in the report, its parts separated by dots.
type MetricName string

// target is the target of one figure.
type target struct {
	name    MetricName
	value   float64
	atLeast bool
}

// targets holds every figure of the report that has a target.
var targets = []target{
	{"replica_share", 0.95, true},
	{"stale_reads", 0, false},
	{"failover_gap_ms.crash.worst", 1000, false},
	{"failover_gap_ms.isolated.worst", 1000, false},
	{"failover_gap_ms.owner.worst", 1000, false},
	{"failover_gap_ms.both.worst", 1000, false},
	{"failover_gap_ms.planned.worst", 100, false},
	{"goodput_x5", 0.95, true},
	{"host_loss_recovery_s", 3, false},
	{"config_in_force_s.worst", 2, false},
	{"store_outage_refused", 0, false},
	{"doubled", 0, false},
	{"lost", 0, false},
	{"control.cpu_share", 0.028, false},
	{"control.bytes_per_s", 2000, false},
	{"control.heap_mb", 64, false},
	{"hop_ms.p50", 0.3, false},
}

// metricsWithoutTarget holds the figures that have no target of their own.
func metricsWithoutTarget() []MetricName {
	names := []MetricName{"control.store_ops_per_s", "hop_ms.p99", "config_in_force_s.median"}
	for _, fault := range []string{"crash", "isolated", "owner", "both", "planned"} {
		names = append(names, MetricName("failover_gap_ms."+fault+".median"))
	}
	for _, rank := range []string{"one", "two", "three"} {
		for _, load := range []string{"x05", "x1", "x2", "x5"} {
			for _, figure := range []string{"goodput", "p50_ms", "p99_ms"} {
				names = append(names, MetricName(strings.Join([]string{"rank", rank, load, figure}, ".")))
			}
		}
		for _, other := range []string{"one", "two", "three"} {
			names = append(names, MetricName("flood."+rank+".kept."+other))
		}
	}
	return names
}

// Report holds the figures of one user by name.
type Report struct {
	User    string
	metrics map[MetricName]*Metric
	order   []MetricName
}

// NewReport returns a report in which nothing has been taken yet.
func NewReport(user string) *Report {
	r := &Report{User: user, metrics: map[MetricName]*Metric{}}
	for _, item := range targets {
		r.add(item.name, &Metric{Target: &item.value, AtLeast: item.atLeast})
	}
	for _, name := range metricsWithoutTarget() {
		r.add(name, &Metric{})
	}
	return r
}

// add adds a figure that was not taken.
func (r *Report) add(name MetricName, figure *Metric) {
	r.metrics[name] = figure
	r.order = append(r.order, name)
}

// Set records a figure's value.
func (r *Report) Set(name MetricName, value float64) {
	r.metrics[name].Value = &value
}

// SetBaseline records what a figure is without the system's own means.
func (r *Report) SetBaseline(name MetricName, value float64) {
	r.metrics[name].Baseline = &value
}

// Missed returns the figures that were taken and miss their target.
func (r *Report) Missed() []MetricName {
	return r.withTarget(func(f *Metric) bool { return f.Value != nil && !f.met() })
}

// Unmeasured returns the figures that have a target and were not taken.
func (r *Report) Unmeasured() []MetricName {
	return r.withTarget(func(f *Metric) bool { return f.Value == nil })
}

// withTarget returns the figures with a target that fit.
func (r *Report) withTarget(fits func(*Metric) bool) []MetricName {
	var found []MetricName
	for _, name := range r.order {
		if figure := r.metrics[name]; figure.Target != nil && fits(figure) {
			found = append(found, name)
		}
	}
	return found
}

// Tree returns the figures as nested objects, one level for each part of a name.
func (r *Report) Tree() map[string]any {
	root := map[string]any{}
	for _, name := range r.order {
		parts := strings.Split(string(name), ".")
		at := root
		for _, part := range parts[:len(parts)-1] {
			if at[part] == nil {
				at[part] = map[string]any{}
			}
			at = at[part].(map[string]any)
		}
		at[parts[len(parts)-1]] = r.metrics[name]
	}
	return root
}

// Print writes the figures that were taken, and the names of those that were not.
func (r *Report) Print(out io.Writer) {
	for _, name := range r.order {
		figure := r.metrics[name]
		if figure.Value == nil {
			continue
		}
		fmt.Fprintf(out, "%s %s: %.4g, target %s, baseline %s\n", r.User, name, *figure.Value, formatValue(figure.Target), formatValue(figure.Baseline))
	}
	fmt.Fprintf(out, "%s missed: %v\n%s not taken: %v\n", r.User, r.Missed(), r.User, r.Unmeasured())
}

// formatValue returns a figure, or a word for one that is missing.
func formatValue(figure *float64) string {
	if figure == nil {
		return "none"
	}
	return fmt.Sprintf("%.4g", *figure)
}
