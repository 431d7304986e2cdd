// Command hq-entry runs the entry daemon of one VM; see package entry.
package main

import (
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/entry"
)

func main() {
	daemon.Main("hq-entry", new(entry.Settings), entry.Module)
}
