package operator

import (
	"expvar"
	"fmt"
	"net/http"
)

// The metrics of this package, under the map "configuration".
const (
	metricAccepted  = "accepted"
	metricConflicts = "conflicts"
	metricRefused   = "refused"
	metricUnknown   = "unknown"
)

// metrics counts the changes of the configuration that operators sent to this process.
var metrics = expvar.NewMap("configuration")

// count adds one to a metric.
func count(name string) {
	metrics.Add(name, 1)
}

// secretMetric is the library's variable with the command line, which may hold secrets.
const secretMetric = "cmdline"

// writeMetrics writes every expvar but the command line.
func writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	separator := "{\n"
	expvar.Do(func(variable expvar.KeyValue) {
		if variable.Key == secretMetric {
			return
		}
		fmt.Fprintf(w, "%s%q: %s", separator, variable.Key, variable.Value)
		separator = ",\n"
	})
	fmt.Fprint(w, "\n}\n")
}
