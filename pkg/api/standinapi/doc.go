// Package standinapi is the generated stand-in interface: faults, and replication between stand-in endpoints.
package standinapi
