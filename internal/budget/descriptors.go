package budget

import "golang.org/x/sys/unix"

// unlimitedDescriptors stands for the limit of a system that sets none.
const unlimitedDescriptors = 1 << 20

// Descriptors returns the number of descriptors that the process may have: its soft limit of RLIMIT_NOFILE, or bound if that
// is lower and not 0.
func Descriptors(bound int) int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > unlimitedDescriptors {
		limit.Cur = unlimitedDescriptors
	}
	if bound > 0 {
		return min(int64(bound), int64(limit.Cur))
	}
	return int64(limit.Cur)
}
