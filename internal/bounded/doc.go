// Package bounded holds containers that never outgrow a limit.
package bounded
