// Command hqctl is the command-line tool for operators; see packages ctl and cli.
package main

import (
	"os"

	"hemlockquay/internal/ctl/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
