// Command quetzalbend-agent runs the agent of one target: it admits calls from
// entries and runs them on the target's engine or service.
package main

import (
	"os"

	"quetzalbend/internal/app/agent"
	"quetzalbend/internal/program"
)

func main() {
	os.Exit(int(program.Main("quetzalbend-agent", os.Args[1:], agent.Check, agent.Run)))
}
