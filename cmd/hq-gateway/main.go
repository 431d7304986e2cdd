// Command hq-gateway runs the daemon of an entry VM on the users' platform; see package gateway.
package main

import (
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/gateway"
	"hemlockquay/platform"
)

func main() {
	daemon.Main("hq-gateway", new(gateway.Settings), gateway.Module(platform.Adapter{}))
}
