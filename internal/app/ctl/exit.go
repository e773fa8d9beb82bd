package ctl

import (
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/adminhttp"
	"quetzalbend/internal/core/check"
	"quetzalbend/internal/program"
)

// Exit codes in addition to those of package program.
const (
	ExitConflict     program.ExitCode = 4 // another write came first, or the version differs
	ExitUnknown      program.ExitCode = 5 // the write may or may not take effect
	ExitInvalid      program.ExitCode = 6 // a setting does not pass the checks
	ExitUnauthorized program.ExitCode = 7 // unknown token, or outside of the operator's subtree
	ExitNotInForce   program.ExitCode = 8 // a node has not reached the offset in time
	ExitUnavailable  program.ExitCode = 9 // no entry answers, or the platform's log is unavailable
	ExitNotFound     program.ExitCode = 10
	ExitDiffers      program.ExitCode = 11 // diff found differences
)

// exitByCode maps the codes of problem details to exit codes.
var exitByCode = map[string]program.ExitCode{
	adminhttp.CodeConflict:        ExitConflict,
	adminhttp.CodeVersionMismatch: ExitConflict,
	adminhttp.CodeOutcomeUnknown:  ExitUnknown,
	adminhttp.CodeInvalidSetting:  ExitInvalid,
	adminhttp.CodeUnauthorized:    ExitUnauthorized,
	adminhttp.CodeOutsideSubtree:  ExitUnauthorized,
	adminhttp.CodePlatformAway:    ExitUnavailable,
	adminhttp.CodeNotReady:        ExitUnavailable,
	adminhttp.CodeNotFound:        ExitNotFound,
}

// exitError is an error that sets the exit code.
type exitError struct {
	code program.ExitCode
	text string
}

// Error returns the text.
func (e *exitError) Error() string { return e.text }

// exitCode returns the exit code for an error.
func exitCode(err error) program.ExitCode {
	var problem *adminhttp.Problem
	var flagsError *flags.Error
	var checkError *check.Error
	var exitErr *exitError
	switch {
	case err == nil:
		return program.ExitOK
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &problem):
		if code, ok := exitByCode[problem.Code]; ok {
			return code
		}
	case errors.As(err, &checkError):
		return program.ExitConfig
	case errors.As(err, &flagsError):
		if flagsError.Type == flags.ErrHelp {
			return program.ExitOK
		}
		return program.ExitUsage
	}
	return program.ExitFailed
}
