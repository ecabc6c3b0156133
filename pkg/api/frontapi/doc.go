// Package frontapi contains the generated messages, HTTP client and server of questions to a host on the users' platform.
package frontapi
