package wire

// RPC methods of limits, intents and quarantine.
const (
	MethodShare = "Entry.Share"
)

// Place is a VM as the platform lists it. Unlike Member it says nothing about
// whether the VM answers.
type Place struct {
	VM         string
	DataCentre string
}
