package fleet

// note asks for a line in the log.
func (m *Machine) note(note Note) {
	m.notes = append(m.notes, note)
}

// noteHosts asks for a line for each host whose state changed.
func (m *Machine) noteHosts() {
	for _, change := range m.members.TakeChanges() {
		m.note(Note{Kind: NoteHostState, Host: change.Host, State: change.State})
	}
}
