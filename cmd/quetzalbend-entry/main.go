// Command quetzalbend-entry runs an entry: it takes callers' requests and
// passes them on to targets.
package main

import (
	"os"

	"quetzalbend/internal/app/entry"
	"quetzalbend/internal/program"
)

func main() {
	os.Exit(int(program.Main("quetzalbend-entry", os.Args[1:], entry.Check, entry.Run)))
}
