package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// watchDelay is how long a statement waits before its caller's connection is watched; most waits are shorter and cost a timer only.
const watchDelay = 10 * time.Millisecond

// closeWatch watches a caller's connection while a statement waits, and cancels the session's context when the caller has closed it.
//
// Between begin and end it starts a goroutine if the wait is not a short one; end returns when that has ended.
type closeWatch struct {
	caller Caller
	cancel context.CancelFunc // of the session
	gone   atomic.Bool        // the caller has closed its connection

	active bool // between begin and end
	timer  *time.Timer
	done   chan error // receives the end of the goroutine

	mutex sync.Mutex
	ended bool
	stop  context.CancelFunc // of the goroutine
}

// begin starts the watch, unless it has begun.
func (w *closeWatch) begin(ctx context.Context) {
	if w.active || w.caller == nil {
		return
	}
	w.active, w.ended, w.stop = true, false, nil
	if w.timer != nil {
		w.timer.Reset(watchDelay)
		return
	}
	w.done = make(chan error, 1)
	w.timer = time.AfterFunc(watchDelay, func() { w.run(ctx, w.done) })
}

// run watches until the caller has closed its connection, the watch or the context ends, then sends its result on done.
func (w *closeWatch) run(ctx context.Context, done chan<- error) {
	w.mutex.Lock()
	if w.ended {
		w.mutex.Unlock()
		done <- nil
		return
	}
	ctx, w.stop = context.WithCancel(ctx)
	w.mutex.Unlock()
	if w.caller.AwaitClose(ctx) {
		w.gone.Store(true)
		w.cancel()
	}
	done <- ctx.Err()
}

// end ends the watch, if it has begun.
func (w *closeWatch) end() {
	if !w.active {
		return
	}
	w.active = false
	if w.timer.Stop() {
		return
	}
	w.mutex.Lock()
	w.ended = true
	if w.stop != nil {
		w.stop()
	}
	w.mutex.Unlock()
	<-w.done
}
