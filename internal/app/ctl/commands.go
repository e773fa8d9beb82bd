package ctl

import (
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/core/schema"
)

// commandSpec describes a subcommand.
type commandSpec struct {
	name, short string
	command     command
}

// commandSet maps the parser's commands to their implementations.
type commandSet map[*flags.Command]command

// addCommands adds all subcommands to the parser's root command.
func addCommands(root *flags.Command) (commandSet, error) {
	set := commandSet{}
	err := set.add(root, []commandSpec{
		{"validate", "Check a file of settings against those in force", &validateCommand{}},
		{"get", "Print the value at a path", &getCommand{}},
		{"put", "Write the value at a path from a file, or - for standard input", &putCommand{}},
		{"delete", "Delete a path", &deleteCommand{}},
		{"apply", "Write all settings of a file that differ", &applyCommand{}},
		{"list", "List settings at and below a path", &listCommand{}},
		{"history", "Print the last writes of a path", &historyCommand{}},
		{"diff", "Compare a file of settings with those in force", &diffCommand{}},
		{"outcome", "Ask what became of a write by its operation", &outcomeCommand{}},
		{"wait", "Wait until an offset is in force at all nodes", &waitCommand{}},
		{"status", "Show entries, nodes and targets", &statusCommand{}},
		{"explain", "Say why a request of some kind would go where", &explainCommand{}},
	})
	if err != nil {
		return nil, err
	}
	err = set.addGroup(root, "domain", "Take a failure domain out or bring it back", []commandSpec{
		{"out", "Let a failure domain get no new work", &setStateCommand{kind: "domains", state: schema.Out}},
		{"in", "Bring a failure domain back", &setStateCommand{kind: "domains", state: schema.In}},
	})
	if err != nil {
		return nil, err
	}
	return set, set.addGroup(root, "target", "Drain a target or bring it back", []commandSpec{
		{"drain", "Let a target get no new work", &setStateCommand{kind: "targets", state: schema.Out}},
		{"undrain", "Bring a target back", &setStateCommand{kind: "targets", state: schema.In}},
	})
}

func (s commandSet) addGroup(root *flags.Command, name, short string, commands []commandSpec) error {
	group, err := root.AddCommand(name, short, "", &struct{}{})
	if err != nil {
		return errors.Wrapf(err, "add command %s", name)
	}
	return s.add(group, commands)
}

func (s commandSet) add(parent *flags.Command, commands []commandSpec) error {
	for _, spec := range commands {
		subcommand, err := parent.AddCommand(spec.name, spec.short, "", spec.command)
		if err != nil {
			return errors.Wrapf(err, "add command %s", spec.name)
		}
		s[subcommand] = spec.command
	}
	return nil
}
