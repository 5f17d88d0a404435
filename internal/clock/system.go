package clock

/*
#include <time.h>

// suspended_ns returns CLOCK_BOOTTIME less CLOCK_MONOTONIC in nanoseconds, or -1 on an error or if
// reading the clocks took more than 1 ms, in which case the difference is unreliable.
static long long suspended_ns(void) {
	struct timespec before, boot, after;
	if (clock_gettime(CLOCK_MONOTONIC, &before) || clock_gettime(CLOCK_BOOTTIME, &boot) || clock_gettime(CLOCK_MONOTONIC, &after)) {
		return -1;
	}
	long long from = before.tv_sec * 1000000000LL + before.tv_nsec;
	long long to = after.tv_sec * 1000000000LL + after.tv_nsec;
	if (to - from > 1000000LL) {
		return -1;
	}
	long long d = boot.tv_sec * 1000000000LL + boot.tv_nsec - from;
	return d > 0 ? d : 0;
}
*/
import "C"

import "time"

// maxReadAttempts bounds how often the clocks are read when the thread is delayed between the reads.
const maxReadAttempts = 3

// systemSuspended returns how long the machine has been suspended since boot. The C library reads the clocks without a system
// call, in about 0.1 µs.
func systemSuspended() (time.Duration, bool) {
	for range maxReadAttempts {
		if ns := C.suspended_ns(); ns >= 0 {
			return time.Duration(ns), true
		}
	}
	return 0, false
}
