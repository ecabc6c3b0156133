// Package pool keeps the connections of one instance: warm ahead of need, never above their limit, never reused in doubt.
package pool
