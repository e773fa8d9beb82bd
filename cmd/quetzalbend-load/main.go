// Command quetzalbend-load generates load and runs the experiments.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"quetzalbend/internal/app/load/skew"
)

func main() {
	parser := flags.NewParser(nil, flags.Default)
	if err := skew.Register(parser); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
