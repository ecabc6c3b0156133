// Package callerapi contains the generated HTTP client and server of the caller interface: statements, transactions and outcomes
// for applications.
package callerapi
