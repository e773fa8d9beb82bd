// Command standin plays the cases of the review: it starts the gateways of
// deploy/system.toml between stand-ins for the platform's store, replicas and clients. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// play plays a case and reports whether its rule held.
type play func(s *system, trouble bool) (held bool, err error)

var plays = map[string]play{
	"cold": playCold, "upload": playUpload,
	"warm": playWarm,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	s, err := newSystem(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.end()
	held, err := plays[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		s.note("the case could not run: %v", err)
		return 2
	case !held:
		return 1
	}
	return 0
}
