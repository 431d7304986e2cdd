// Package command provides what the command lines of all programs have in common:
// the version, exit codes and the parsing of subcommands.
package command

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"

	"hemlockquay/internal/settings"
)

// Version is the release version that --version prints.
var Version = "0.1.0"

// Exit codes of all programs; hqctl has further ones.
const (
	OK = 0
	// Failure means that the command failed.
	Failure = 1
	// Usage means that the command line or the settings are invalid, or that a file does not exist.
	Usage = 2
)

// VersionFlag is the option --version; its function runs when the option is parsed.
type VersionFlag struct {
	Version func() error `long:"version" description:"print the version and exit"`
}

// NewVersionFlag returns the option for the program. The version is returned as an ErrHelp
// error, like the help text: the parser prints it on standard output, and the exit code is OK.
func NewVersionFlag(program string) VersionFlag {
	return VersionFlag{func() error {
		return &flags.Error{Type: flags.ErrHelp, Message: program + " " + Version}
	}}
}

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var usage *flags.Error
	var bad *settings.Error
	switch {
	case err == nil, flags.WroteHelp(err):
		return OK
	case errors.As(err, &usage), errors.As(err, &bad), errors.Is(err, os.ErrNotExist):
		return Usage
	}
	return Failure
}

// Command is a subcommand. Run is a struct of flags with an Execute method.
type Command struct {
	Name, Short, Long string
	Run               flags.Commander
}

// Run parses the command line of a program with subcommands, executes the subcommand and
// returns the exit code. Errors are printed on standard error.
func Run(program string, args []string, commands ...Command) int {
	global := NewVersionFlag(program)
	p := flags.NewNamedParser(program, flags.Default)
	if _, err := p.AddGroup("Options", "", &global); err != nil {
		panic(err)
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.Name, c.Short, c.Long, c.Run); err != nil {
			panic(err)
		}
	}
	_, err := p.ParseArgs(args)
	return ExitCode(err)
}
