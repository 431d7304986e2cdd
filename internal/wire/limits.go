package wire

import "time"

// RPC methods of limits, intents and quarantine.
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

// AwaitArgs asks a coordinator for the end of a request that it runs.
type AwaitArgs struct {
	// Claim is the claim's ID.
	Claim string
	// Wait bounds how long the call may be held.
	Wait time.Duration
}

// AwaitReply says what became of a claim.
type AwaitReply struct {
	// Known is false where the coordinator never heard of the claim: it is
	// another life, or forgot.
	Known bool
	// Released says that the request surely was not run.
	Released bool
	// Answer is nil while the request runs.
	Answer *Answer
}

// Place is a VM as the platform lists it. Unlike Member it says nothing about
// whether the VM answers.
type Place struct {
	VM         string
	DataCentre string
}
