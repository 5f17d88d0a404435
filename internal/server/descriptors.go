package server

import "syscall"

// reservedPart is the part of the descriptors, one in reservedPart, that callers leave to other nodes, the store and readiness.
const reservedPart = 8

// maxCallerConns returns how many connections of callers this process may have open: each may need a second one to an endpoint. It
// returns 0, no limit, if the limit of descriptors is not known.
func maxCallerConns() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	descriptors := min(limit.Cur, 1<<30)
	return int((descriptors - descriptors/reservedPart) / 2) //nolint:gosec // bounded above
}
