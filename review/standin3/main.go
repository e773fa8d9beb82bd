// Command standin3 plays the cases of review 3. It holds small stand-ins of the platform's
// store, of replicas and of clients, and starts the project's own programs from target/.
//
// With KEEP set, the settings and logs of the programs are kept, and their folder is printed.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is the longest that a case may take.
const maxTime = 110 * time.Second

var cases = map[string]func(folder string, trouble bool) int{
	"stopfull":    stopFull,
	"earlierbeat": earlierBeat,
	"latebeat":    lateBeat,
	"left":        leftStreams,
	"empty":       emptyRegistry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	log.file = file
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fail("%v", err)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
			fail("stopped")
		case <-time.After(maxTime):
			fail("takes too long")
		}
	}()
	result := cases[os.Args[1]](folder, os.Getenv("TROUBLE") != "0")
	endAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	log.add("result: %d", result)
	os.Exit(result)
}
