// Package standinapi contains the generated HTTP client and server of the stand-ins' control interface: fault injection, and
// replication between stand-in endpoints.
package standinapi
