// Package front serves callers' sessions: it routes each statement to an instance of its database and returns the response.
package front
