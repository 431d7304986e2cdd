// Command hq-gateway is the daemon of an entry VM on the users' platform.
package main

import (
	"hemlockquay/internal/daemon"
	"hemlockquay/internal/gateway"
	"hemlockquay/platform"
)

func main() {
	daemon.Main("hq-gateway", new(gateway.Settings), gateway.Module(platform.Adapter{}))
}
