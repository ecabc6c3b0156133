package event

// Number identifies one event of the catalogue.
type Number int

// errorText returns an error's message, or nothing when there is no error.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
