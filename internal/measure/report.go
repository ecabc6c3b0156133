package measure

import (
	"fmt"
	"io"
	"strings"
)

// Metric is one measured value with its target and its baseline, which is the value without the system.
type Metric struct {
	Value    *float64 `json:"value"` // nil if not measured
	Target   *float64 `json:"target"`
	AtLeast  bool     `json:"at_least"` // the target is a minimum, not a maximum
	Baseline *float64 `json:"baseline"` // nil if not measured
}

// met reports whether the value meets the target, if there is one; a value that was not measured does not.
func (m Metric) met() bool {
	switch {
	case m.Target == nil:
		return true
	case m.Value == nil:
		return false
	case m.AtLeast:
		return *m.Value >= *m.Target
	}
	return *m.Value <= *m.Target
}

// MetricName is the path of a metric in the report, with parts separated by dots.
type MetricName string

// target is the target of one metric.
type target struct {
	name    MetricName
	value   float64
	atLeast bool
}

// targets holds the target of every metric that has one.
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

// metricsWithoutTarget returns the names of the metrics that have no target.
func metricsWithoutTarget() []MetricName {
	names := []MetricName{"control.store_ops_per_s", "hop_ms.p99", "config_in_force_s.median"}
	for _, fault := range []string{"crash", "isolated", "owner", "both", "planned"} {
		names = append(names, MetricName("failover_gap_ms."+fault+".median"))
	}
	for _, rank := range []string{"one", "two", "three"} {
		for _, load := range []string{"x05", "x1", "x2", "x5"} {
			for _, metric := range []string{"goodput", "p50_ms", "p99_ms"} {
				names = append(names, MetricName(strings.Join([]string{"rank", rank, load, metric}, ".")))
			}
		}
		for _, other := range []string{"one", "two", "three"} {
			names = append(names, MetricName("flood."+rank+".kept."+other))
		}
	}
	return names
}

// Report holds the metrics of one user by name.
type Report struct {
	User    string
	metrics map[MetricName]*Metric
	order   []MetricName
}

// NewReport returns a report without any measured values.
func NewReport(user string) *Report {
	r := &Report{User: user, metrics: map[MetricName]*Metric{}}
	for _, target := range targets {
		r.add(target.name, &Metric{Target: &target.value, AtLeast: target.atLeast})
	}
	for _, name := range metricsWithoutTarget() {
		r.add(name, &Metric{})
	}
	return r
}

// add registers a metric.
func (r *Report) add(name MetricName, metric *Metric) {
	r.metrics[name] = metric
	r.order = append(r.order, name)
}

// Set records the value of a metric.
func (r *Report) Set(name MetricName, value float64) {
	r.metrics[name].Value = &value
}

// SetBaseline records the baseline of a metric.
func (r *Report) SetBaseline(name MetricName, value float64) {
	r.metrics[name].Baseline = &value
}

// Missed returns the metrics that were measured and miss their target.
func (r *Report) Missed() []MetricName {
	return r.withTarget(func(m *Metric) bool { return m.Value != nil && !m.met() })
}

// Unmeasured returns the metrics that have a target and were not measured.
func (r *Report) Unmeasured() []MetricName {
	return r.withTarget(func(m *Metric) bool { return m.Value == nil })
}

// withTarget returns the names of the metrics that have a target and match.
func (r *Report) withTarget(matches func(*Metric) bool) []MetricName {
	var found []MetricName
	for _, name := range r.order {
		if metric := r.metrics[name]; metric.Target != nil && matches(metric) {
			found = append(found, name)
		}
	}
	return found
}

// Tree returns the metrics as nested maps, with one level for each part of a name.
func (r *Report) Tree() map[string]any {
	root := map[string]any{}
	for _, name := range r.order {
		parts := strings.Split(string(name), ".")
		node := root
		for _, part := range parts[:len(parts)-1] {
			if node[part] == nil {
				node[part] = map[string]any{}
			}
			node = node[part].(map[string]any)
		}
		node[parts[len(parts)-1]] = r.metrics[name]
	}
	return root
}

// Print writes the measured metrics, and the names of those that miss their target or were not measured.
func (r *Report) Print(out io.Writer) {
	for _, name := range r.order {
		metric := r.metrics[name]
		if metric.Value == nil {
			continue
		}
		fmt.Fprintf(out, "%s %s: %.4g, target %s, baseline %s\n", r.User, name, *metric.Value, formatValue(metric.Target), formatValue(metric.Baseline))
	}
	fmt.Fprintf(out, "%s missed: %v\n%s not taken: %v\n", r.User, r.Missed(), r.User, r.Unmeasured())
}

// formatValue formats a value, or returns "none" if there is none.
func formatValue(value *float64) string {
	if value == nil {
		return "none"
	}
	return fmt.Sprintf("%.4g", *value)
}
