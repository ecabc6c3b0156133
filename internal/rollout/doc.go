// Package spread brings each accepted configuration into force on every host: the row of versions, peers, newest wins.
package rollout
