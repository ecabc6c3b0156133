package runner

import (
	"redwingspread/internal/event"
	"redwingspread/internal/fleet"
)

// logEntry logs a note as the event of its kind.
func (r *Runner) logEntry(note fleet.LogEntry) {
	switch note.Kind {
	case fleet.LogHostState:
		event.HostStateChanged(r.Logger, note.Host, string(note.State))
	case fleet.LogClaimed:
		event.DatabaseClaimed(r.Logger, note.Database, note.Term, note.Instance, note.Reason)
	case fleet.LogServing:
		event.DatabaseServing(r.Logger, note.Database, note.Term, note.Instance)
	case fleet.LogReplaced:
		event.DatabaseReplaced(r.Logger, note.Database, note.Term, note.Host)
	case fleet.LogPrimarySilent:
		event.PrimarySilent(r.Logger, note.Database, note.Term, note.Instance)
	case fleet.LogSwitchover:
		event.SwitchoverBegun(r.Logger, note.Database, note.Term, note.Instance, note.To)
	case fleet.LogSwitchoverMissed:
		event.SwitchoverMissed(r.Logger, note.Database, note.Term, note.Instance)
	case fleet.LogGroupChange:
		event.GroupChanged(r.Logger, note.Database, note.Term, note.Instance, note.Reason)
	case fleet.LogStoreDown:
		event.StoreUnreachable(r.Logger, note.Err)
	case fleet.LogStoreUp:
		event.StoreReachable(r.Logger)
	case fleet.LogFleetLearned:
		event.FleetLearnt(r.Logger, note.Host)
	}
}
