package upstream

import (
	"errors"
	"syscall"
)

// ErrNoDescriptor says that the process has no descriptor left for a connection to a target.
var ErrNoDescriptor = errors.New("no descriptor for a connection to a target")

// IsLocal reports whether an error of a dial shows a lack of this VM's own resources, or a limit that it keeps. Such an error
// says nothing about the target or the path to it.
func IsLocal(err error) bool {
	for _, lack := range []error{ErrNoDescriptor, ErrConnLimit, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}
