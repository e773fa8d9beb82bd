package topology

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// Files that System.Write creates in one folder.
const (
	SystemFile    = "system.json" // JSON array of Process without Config
	ProcessesFile = "processes"   // one line per process: name, program, subcommand or "-", start-up file
	SettingsFile  = "settings"    // one line per setting: path, file
	fileMode      = os.FileMode(0o600)
)

// Write writes the start-up files, the values of the settings, and the lists of
// both into folder.
func (s *System) Write(folder string) error {
	var processes, settings strings.Builder
	listed := make([]Process, len(s.Processes))
	for i, process := range s.Processes {
		file := ConfigFile(folder, process.Name)
		if err := writeJSON(file, process.Config); err != nil {
			return err
		}
		subcommand := process.Subcommand
		if subcommand == "" {
			subcommand = "-"
		}
		processes.WriteString(strings.Join([]string{process.Name, process.Program, subcommand, file}, " ") + "\n")
		listed[i] = process
		listed[i].Config = nil
	}
	for _, setting := range s.Settings {
		file := filepath.Join(folder, "setting"+strings.ReplaceAll(setting.Path, "/", "-")+".json")
		if err := writeJSON(file, setting.Value); err != nil {
			return err
		}
		settings.WriteString(setting.Path + " " + file + "\n")
	}
	if err := writeJSON(filepath.Join(folder, SystemFile), listed); err != nil {
		return err
	}
	if err := writeText(filepath.Join(folder, ProcessesFile), processes.String()); err != nil {
		return err
	}
	return writeText(filepath.Join(folder, SettingsFile), settings.String())
}

// ConfigFile returns the path of a process's start-up file.
func ConfigFile(folder, name string) string { return filepath.Join(folder, name+".json") }

// ReadProcesses reads the processes that Write listed in folder, without Config.
func ReadProcesses(folder string) ([]Process, error) {
	data, err := os.ReadFile(filepath.Join(folder, SystemFile))
	if err != nil {
		return nil, errors.Wrap(err, "read system")
	}
	var processes []Process
	err = json.Unmarshal(data, &processes)
	return processes, errors.Wrap(err, "decode system")
}

// writeJSON writes value as indented JSON without null fields.
func writeJSON(file string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", file)
	}
	var generic any
	if err := json.Unmarshal(data, &generic); err != nil {
		return errors.Wrapf(err, "decode %s", file)
	}
	dropNulls(generic)
	data, err = json.MarshalIndent(generic, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encode %s", file)
	}
	return writeText(file, string(data)+"\n")
}

// dropNulls removes null fields, which start-up files leave out.
func dropNulls(value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			if field == nil {
				delete(value, name)
			}
			dropNulls(field)
		}
	case []any:
		for _, item := range value {
			dropNulls(item)
		}
	}
}

func writeText(file, text string) error {
	return errors.Wrapf(os.WriteFile(file, []byte(text), fileMode), "write %s", file)
}
