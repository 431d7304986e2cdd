// Command hq-agent runs the agent daemon of one VM; see package agent.
package main

import (
	"hemlockquay/internal/agent"
	"hemlockquay/internal/daemon"
)

func main() {
	daemon.Main("hq-agent", new(agent.Settings), agent.Module)
}
