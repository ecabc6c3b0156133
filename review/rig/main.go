// Command rig runs the review's cases: it plays the platform, the instances and the clients around the project's own processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each returns an error if it could not run.
var cases = map[string]func(w *world, trouble bool) error{}

func main() {
	proxyOf := flag.String("proxy", "", "forward connections: LISTEN,TARGET")
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "path of the record")
	keep := flag.String("keep", "", "folder for the hosts' logs; a temporary one if empty")
	flag.Parse()
	if *proxyOf != "" {
		listen, target, _ := strings.Cut(*proxyOf, ",")
		if err := runProxy(listen, target); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	os.Exit(run(*name, *root, *record, *keep))
}

// run runs a case and returns its exit code.
func run(name, root, record, keep string) int {
	play, found := cases[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer os.RemoveAll(dir)
	}
	w, err := newWorld(root, dir, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.judge.record("case %s, disruption: %t", name, trouble)
	err = play(w, trouble)
	w.stop()
	if err != nil {
		w.judge.record("the case could not run: %v", err)
		w.judge.close()
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w.judge.finish(w.databases)
	broken := w.judge.close()
	fmt.Printf("%s, disruption %t: %d breaks %v\n", name, trouble, broken, w.judge.broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
