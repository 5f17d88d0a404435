package reach

import (
	"context"
	"errors"
	"net"

	"moorrun.dev/moorrun/internal/clock"
)

// Dialer connects to endpoints.
type Dialer struct {
	Monitor *Monitor
}

// Dial connects to the endpoint at address.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := d.Monitor.Dial(ctx, address)
	switch {
	case err == nil:
		d.Monitor.Connected(clock.Now())
	case !errors.Is(ctx.Err(), context.Canceled):
		d.Monitor.Failed(address)
	}
	return c, err
}
