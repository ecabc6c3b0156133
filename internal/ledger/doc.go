// Package ledger keeps every accepted configuration on the platform: one row that names the newest, and one object each.
package ledger
