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

// configurationMetrics counts the changes of the configuration that operators sent to this process.
var configurationMetrics = expvar.NewMap("configuration")

// countChange adds one to a metric.
func countChange(name string) {
	configurationMetrics.Add(name, 1)
}

// commandLineVariable is the library's variable with the command line, which may hold secrets.
const commandLineVariable = "cmdline"

// hostVariable is the name of the map with what only this host knows.
const hostVariable = "host"

// writeMetrics writes every expvar but the command line, and this host's own.
func (s *Server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\n%q: %s", hostVariable, s.localMetrics())
	expvar.Do(func(variable expvar.KeyValue) {
		if variable.Key != commandLineVariable {
			fmt.Fprintf(w, ",\n%q: %s", variable.Key, variable.Value)
		}
	})
	fmt.Fprint(w, "\n}\n")
}

// localMetrics returns the version in force and, by instance, the work that waits and that was refused.
func (s *Server) localMetrics() *expvar.Map {
	status := s.status()
	own := new(expvar.Map)
	own.Add("version", int64(status.Configuration))
	if status.Ready {
		own.Add("ready", 1)
	} else {
		own.Add("ready", 0)
	}
	for _, queue := range status.Queues {
		own.Add(fmt.Sprintf("waiting.%s.rank%d", queue.Instance, queue.Rank), int64(queue.Waiting))
	}
	for _, refusal := range status.Refusals {
		own.Add(fmt.Sprintf("refused.%s.%s", refusal.Instance, refusal.Code), refusal.Count)
	}
	return own
}
