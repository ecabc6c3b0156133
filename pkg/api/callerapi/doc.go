// Package callerapi is the generated caller interface: statements, transactions and outcomes for applications.
package callerapi
