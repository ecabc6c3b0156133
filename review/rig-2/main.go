// Command rig plays one case of the second review against the processes of the deploy file.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// timeLimit is the time after which a case is given up, and its processes are ended.
const timeLimit = 110 * time.Second

// running is the fleet whose processes have to be ended; nil while there is none.
var running atomic.Pointer[fleet]

// Results of a case, which are the exit codes.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// cases are the cases by name. They get whether the disruption takes place, and return whether the rule was broken.
var cases = map[string]func(f *record, trouble bool) (bool, error){
	"long-start": longStart,
	"odd-entry":  oddEntry,
	"no-leader":  noLeader,
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names, and writes the record to the second one.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig CASE RECORD")
		return failed
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer file.Close()
	r := &record{file: file, started: time.Now(), counts: make(map[string]int)}
	go giveUp(r)
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption: %v", os.Args[1], trouble)
	isBroken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return failed
	case isBroken:
		r.note("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	return held
}

// giveUp ends all processes and exits if the case takes too long or is interrupted.
func giveUp(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	reason := "it took too long"
	select {
	case <-time.After(timeLimit):
	case received := <-signals:
		reason = received.String()
	}
	r.note("could not run: %s", reason)
	if f := running.Load(); f != nil {
		f.stop()
	}
	os.Exit(failed)
}
