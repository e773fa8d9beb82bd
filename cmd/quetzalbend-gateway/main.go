// Command quetzalbend-gateway runs the gateway: it serves callers on an entry VM
// of the users' platform and reads its settings from the file that the platform
// provides.
package main

import (
	"os"

	"quetzalbend/internal/app/gateway"
	"quetzalbend/internal/program"
)

func main() {
	os.Exit(int(program.MainWithoutConfig("quetzalbend-gateway", os.Args[1:], gateway.Run)))
}
