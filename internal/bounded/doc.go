// Package bounded provides containers of limited size.
package bounded
