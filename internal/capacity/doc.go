// Package capacity measures how one daemon's control grows with the fleet: state, messages and processor time at rising sizes.
package capacity
