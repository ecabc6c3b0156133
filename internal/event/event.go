package event

// Number identifies one kind of log event.
type Number int

// errorText returns the message of an error; empty when there is none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
