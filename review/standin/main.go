// Command standin plays one case of the review: it starts the processes of a small deployment
// on loopback addresses, with stand-ins for the platform's store, replicas and clients, and
// checks one rule on what clients, replicas and the store have seen.
//
//	standin CASE RECORD PROGRAMS
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	held = iota
	broken
	notRun
)

var cases = map[string]func(*run) (int, error){
	"drain":  drainCase,
	"poison": poisonCase,
	"dark":   darkCase,
	"crash":  crashCase,
	"idle":   idleCase,
}

// run is one run of a case.
type run struct {
	*cluster
	trouble bool
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD PROGRAMS")
		return notRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	c, err := newCluster(rec, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer c.close()
	type end struct {
		code int
		err  error
	}
	ended := make(chan end, 1)
	r := &run{cluster: c, trouble: os.Getenv("TROUBLE") != "0"}
	go func() {
		code, err := cases[os.Args[1]](r)
		ended <- end{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case e := <-ended:
		if e.err != nil {
			fmt.Fprintln(os.Stderr, e.err)
			rec.add("could not run:", e.err)
			return notRun
		}
		return e.code
	case <-signals:
		return notRun
	}
}
