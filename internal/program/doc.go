// Package program is the frame of every command: flags, the JSON start-up file,
// --version, --check-config, SIGTERM and SIGINT, and exit codes.
package program
