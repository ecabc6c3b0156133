package fleet

// log adds an entry to the log.
func (m *Machine) log(entry LogEntry) {
	m.logEntries = append(m.logEntries, entry)
}

// logHostChanges logs each host whose state changed.
func (m *Machine) logHostChanges() {
	for _, change := range m.members.TakeChanges() {
		m.log(LogEntry{Kind: LogHostState, Host: change.Host, State: change.State})
	}
}
