// Package ledgertest provides an in-memory fake of the platform for tests of the ledger.
package ledgertest
