// Package layout is the load program's subcommand that writes the configuration
// of a small system of stand-ins, agents and entries on loopback.
package layout

import (
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/topology"
)

// Command holds the flags. Counts are for each failure domain.
type Command struct {
	Dir             string `long:"dir" required:"true" description:"folder to write into"`
	Domains         int    `long:"domains" default:"2" description:"failure domains"`
	Entries         int    `long:"entries" default:"2" description:"entries in each failure domain"`
	Engines         int    `long:"engines" default:"2" description:"engines in each failure domain"`
	Services        int    `long:"services" default:"1" description:"plain services in each failure domain"`
	FirstTokenMS    int    `long:"first-token-ms" default:"20" description:"time to the first token of an engine"`
	BetweenTokensMS int    `long:"between-tokens-ms" default:"5" description:"time between tokens of an engine"`
	Queue           int    `long:"queue" default:"4" description:"requests that may wait at the agent of an engine"`
	ColdLimit       int    `long:"cold-limit" default:"4" description:"requests that a cold engine bears"`
}

// Register adds the subcommand to the parser.
func Register(parser *flags.Parser) error {
	_, err := parser.AddCommand("layout", "Lay out a small system on loopback",
		"Writes the start-up file of each process and the settings of a small system into a folder.", &Command{})
	return errors.Wrap(err, "register layout")
}

// Execute writes the files of the system into the folder.
func (c *Command) Execute([]string) error {
	system, err := topology.New(topology.Options{
		Domains:  c.Domains,
		Entries:  c.Entries,
		Engines:  c.Engines,
		Services: c.Services,
		Queue:    c.Queue,
		Engine: engine.Config{
			FirstTokenMS:    c.FirstTokenMS,
			BetweenTokensMS: c.BetweenTokensMS,
			ColdLimit:       c.ColdLimit,
		},
	})
	if err != nil {
		return err
	}
	const folderMode = 0o700
	if err := os.MkdirAll(c.Dir, folderMode); err != nil {
		return errors.Wrap(err, "create layout folder")
	}
	return system.Write(c.Dir)
}
