package clock

import "time"

// Pretend lets read tell for how long the machine has been suspended, until the returned function is called. It is for
// tests, which cannot suspend the machine.
func Pretend(read func() time.Duration) (restore func()) {
	was := suspended.Load()
	began, known := first.Load(), latest.Load()
	pretended := func() (time.Duration, bool) { return read(), true }
	suspended.Store(&pretended)
	first.Store(int64(read()))
	latest.Store(int64(read()))
	return func() {
		suspended.Store(was)
		first.Store(began)
		latest.Store(known)
	}
}
