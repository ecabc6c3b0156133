package boundary

import (
	"errors"
	"fmt"
	"runtime/debug"
	"strings"
)

// ErrPanic is the error of a call that panicked.
var ErrPanic = errors.New("panic")

// stackLines is the number of lines of the stack that the error carries, which keeps log lines short.
const stackLines = 24

// Run calls a function and returns its error, or one with ErrPanic and the stack if it panics.
func Run(call func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			stack := strings.SplitN(string(debug.Stack()), "\n", stackLines+1)
			err = fmt.Errorf("%w: %v: %s", ErrPanic, cause, strings.Join(stack[:min(len(stack), stackLines)], " "))
		}
	}()
	return call()
}
