// Command rig3 plays the script cases of the third review. It is a stand-in of the platform (the store, the operator, the promotion
// call), of the instances and of the clients, and starts hosts of the project as separate processes.
//
// It exits with 1 if a rule was broken, with 0 if all held, and with 2 if the case could not run.
package main

import (
	"encoding/base64"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

func decode(value string) string {
	text, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return value
	}
	for _, b := range text {
		if b < ' ' || b > '~' {
			return fmt.Sprintf("%d bytes", len(text))
		}
	}
	return string(text)
}

// limit is how long a case may take.
const limit = 110 * time.Second

// outcome is the result of a case.
type outcome int

const (
	held outcome = iota
	broken
	impossible
)

var cases = map[string]func(w *world) outcome{
	"token":     tokenCase,
	"config":    configCase,
	"empty":     emptyCase,
	"signature": signatureCase,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: rig3 CASE PROGRAM RECORD")
		os.Exit(int(impossible))
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Println("no such case")
		os.Exit(int(impossible))
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		panic(err)
	}
	w := newWorld(os.Getenv("TROUBLE") != "0", program, os.Args[3])
	end := func(result outcome) {
		w.logf("result: %s", []string{"held", "broken", "could not run"}[result])
		w.close()
		fmt.Printf("%s: %s after %.0f s\n", os.Args[1], []string{"held", "broken", "could not run"}[result], time.Since(w.started).Seconds())
		os.Exit(int(result))
	}
	finished := make(chan outcome, 1)
	go func() { finished <- play(w) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case result := <-finished:
		end(result)
	case <-signals:
		end(impossible)
	case <-time.After(limit):
		end(impossible)
	}
}
