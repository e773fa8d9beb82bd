// Command quetzalbend-rank runs beside a rank of a lock-step group on the users'
// platform.
package main

import (
	"os"

	"quetzalbend/internal/app/rankagent"
	"quetzalbend/internal/program"
)

func main() {
	os.Exit(int(program.MainWithoutConfig("quetzalbend-rank", os.Args[1:], rankagent.Run)))
}
