package runner

import (
	"redwingspread/internal/event"
	"redwingspread/internal/fleet"
)

// logNote logs a note as the event of its kind.
func (r *Runner) logNote(note fleet.Note) {
	switch note.Kind {
	case fleet.NoteHostState:
		event.HostStateChanged(r.Logger, note.Host, string(note.State))
	case fleet.NoteClaimed:
		event.DatabaseClaimed(r.Logger, note.Database, note.Term, note.Instance, note.Reason)
	case fleet.NoteServing:
		event.DatabaseServing(r.Logger, note.Database, note.Term, note.Instance)
	case fleet.NoteReplaced:
		event.DatabaseReplaced(r.Logger, note.Database, note.Term, note.Host)
	case fleet.NotePrimarySilent:
		event.PrimarySilent(r.Logger, note.Database, note.Term, note.Instance)
	case fleet.NoteSwitchover:
		event.SwitchoverBegun(r.Logger, note.Database, note.Term, note.Instance, note.To)
	case fleet.NoteSwitchoverMissed:
		event.SwitchoverMissed(r.Logger, note.Database, note.Term, note.Instance)
	case fleet.NoteGroup:
		event.GroupChanged(r.Logger, note.Database, note.Term, note.Instance, note.Reason)
	case fleet.NoteStoreDown:
		event.StoreUnreachable(r.Logger, note.Err)
	case fleet.NoteStoreUp:
		event.StoreReachable(r.Logger)
	case fleet.NoteFleetLearnt:
		event.FleetLearnt(r.Logger, note.Host)
	}
}
