// Package ledgertest holds a small fake of the platform for tests of the configuration's ledger.
package ledgertest
