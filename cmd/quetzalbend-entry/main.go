// Command quetzalbend-entry runs an entry: it accepts callers' requests and
// passes them on to the agents of targets.
package main

import (
	"os"

	"quetzalbend/internal/app/entry"
	"quetzalbend/internal/program"
)

func main() {
	os.Exit(int(program.Main("quetzalbend-entry", os.Args[1:], entry.Check, entry.Run)))
}
