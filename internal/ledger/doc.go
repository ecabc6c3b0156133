// Package ledger stores every accepted configuration on the platform: each as an object of its own, and one row that names
// the newest ones.
package ledger
