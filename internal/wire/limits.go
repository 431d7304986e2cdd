package wire

import "time"

// RPC methods for limits, intents and quarantine.
const (
	MethodShare   = "Entry.Share"
	MethodClaim   = "Dispatch.Claim"
	MethodSettle  = "Dispatch.Settle"
	MethodRelease = "Dispatch.Release"
	MethodAwait   = "Dispatch.Await"
	MethodCopy    = "Dispatch.CopyIntents"
	MethodHandoff = "Dispatch.Handoff"
	MethodPermit  = "Dispatch.Permit"
	MethodCases   = "Dispatch.Cases"
)

// AwaitArgs asks a coordinator for the result of a request that it runs.
type AwaitArgs struct {
	// Claim is the claim's ID.
	Claim string
	// Wait bounds how long the coordinator may hold the call.
	Wait time.Duration
}

// AwaitReply is the state of a claim.
type AwaitReply struct {
	// Known is false if the coordinator has no record of the claim, because it
	// restarted or dropped the record.
	Known bool
	// Released reports that the request was certainly not run.
	Released bool
	// Answer is nil while the request runs.
	Answer *Answer
}

// Place is a VM in the platform's list. Unlike Member, it does not imply that the VM
// responds.
type Place struct {
	VM         string
	DataCentre string
}
