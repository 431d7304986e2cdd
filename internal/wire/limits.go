package wire

// Place is a VM as the platform lists it. Unlike Member it says nothing about
// whether the VM answers.
type Place struct {
	VM         string
	DataCentre string
}
