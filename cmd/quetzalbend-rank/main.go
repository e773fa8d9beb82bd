// Command quetzalbend-rank runs the agent of one rank of a lock-step group on the
// users' platform: it reads the state of the rank and forwards the orders of the
// leader of map changes to it.
package main

import (
	"os"

	"quetzalbend/internal/app/rankagent"
	"quetzalbend/internal/program"
)

func main() {
	os.Exit(int(program.MainWithoutConfig("quetzalbend-rank", os.Args[1:], rankagent.Run)))
}
