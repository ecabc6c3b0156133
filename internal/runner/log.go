package runner

import (
	"redwingspread/internal/event"
	"redwingspread/internal/fleet"
)

// logEntry logs an entry as the event of its kind.
func (r *Runner) logEntry(entry fleet.LogEntry) {
	switch entry.Kind {
	case fleet.LogHostState:
		event.HostStateChanged(r.Logger, entry.Host, string(entry.State))
	case fleet.LogClaimed:
		event.DatabaseClaimed(r.Logger, entry.Database, entry.Term, entry.Instance, entry.Reason)
	case fleet.LogServing:
		event.DatabaseServing(r.Logger, entry.Database, entry.Term, entry.Instance)
	case fleet.LogReplaced:
		event.DatabaseReplaced(r.Logger, entry.Database, entry.Term, entry.Host)
	case fleet.LogPrimarySilent:
		event.PrimarySilent(r.Logger, entry.Database, entry.Term, entry.Instance)
	case fleet.LogSwitchover:
		event.SwitchoverBegun(r.Logger, entry.Database, entry.Term, entry.Instance, entry.To)
	case fleet.LogSwitchoverMissed:
		event.SwitchoverMissed(r.Logger, entry.Database, entry.Term, entry.Instance)
	case fleet.LogGroupChange:
		event.GroupChanged(r.Logger, entry.Database, entry.Term, entry.Instance, entry.Reason)
	case fleet.LogStoreDown:
		event.StoreUnreachable(r.Logger, entry.Err)
	case fleet.LogStoreUp:
		event.StoreReachable(r.Logger)
	case fleet.LogFleetLearned:
		event.FleetLearnt(r.Logger, entry.Host)
	}
}
