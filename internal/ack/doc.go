// Package ack decides when an owner may acknowledge a write: a pure rule, and a gate that probes the replicas for it.
package ack
