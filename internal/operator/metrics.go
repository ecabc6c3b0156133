package operator

import (
	"expvar"
	"fmt"
	"net/http"

	"redwingspread/internal/budget"
)

// The keys of the expvar map "configuration".
const (
	metricAccepted  = "accepted"
	metricConflicts = "conflicts"
	metricRefused   = "refused"
	metricUnknown   = "unknown"
)

// configurationMetrics counts the configuration changes that operators sent to this process, by result.
var configurationMetrics = expvar.NewMap("configuration")

// countChange increments one of the metrics.
func countChange(name string) {
	configurationMetrics.Add(name, 1)
}

// commandLineVariable is the variable of package expvar with the command line, which may contain secrets.
const commandLineVariable = "cmdline"

// hostVariable is the name of the variable with the metrics of this host.
const hostVariable = "host"

// writeMetrics writes the metrics of this host and every expvar except the command line.
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

// localMetrics returns the configuration version, the readiness, what the limits of clients refused and, by instance, the waiting and the refused requests.
func (s *Server) localMetrics() *expvar.Map {
	status := s.status()
	local := new(expvar.Map)
	local.Add("version", int64(status.Configuration))
	if status.Ready {
		local.Add("ready", 1)
	} else {
		local.Add("ready", 0)
	}
	local.Add("connections_replaced", s.Replaced())
	if s.Memory != nil {
		local.Add("memory_used_bytes", int64(s.Memory.Used()))
		local.Add("memory_peak_bytes", int64(s.Memory.Peak()))
		for _, use := range budget.Uses {
			local.Add("memory_refused."+use.String(), s.Memory.Refusals(use))
		}
	}
	for _, queue := range status.Queues {
		local.Add(fmt.Sprintf("waiting.%s.rank%d", queue.Instance, queue.Rank), int64(queue.Waiting))
	}
	for _, refusal := range status.Refusals {
		local.Add(fmt.Sprintf("refused.%s.%s", refusal.Instance, refusal.Code), refusal.Count)
	}
	return local
}
