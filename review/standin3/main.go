// Command standin3 plays the cases of review 3. It holds small stand-ins of the platform's
// store, of replicas and of clients, and starts the project's own programs from target/.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(folder string, trouble bool) int{
	"left":        leftStreams,
	"latebeat":    lateBeat,
	"earlierbeat": earlierBeat,
	"stopfull":    stopFull,
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
