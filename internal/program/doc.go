// Package program implements what all commands share: flags, the JSON start-up
// file, --version, --check-config, SIGTERM and SIGINT, and exit codes.
package program
