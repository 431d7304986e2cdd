// Command hq-dispatch runs the dispatch daemon of one VM; see package dispatch.
package main

import (
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/dispatch"
)

func main() {
	daemon.Main("hq-dispatch", new(dispatch.Settings), dispatch.Module)
}
