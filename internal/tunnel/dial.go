package tunnel

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/zeebo/errs"

	"moorrun.dev/moorrun/internal/clock"
)

// Error is the class of this package's errors.
var Error = errs.Class("tunnel")

// ErrRefused means that the other node reaches other endpoints and found nothing listening at this one's address.
var ErrRefused = errors.New("the endpoint refuses the connection of the other node as well")

// replyMargin is the part of the time for the whole attempt that is left for the way between the nodes: one part in replyMargin.
const replyMargin = 5

// Dial connects to the endpoint at address through the node at peer. ctx must have a deadline.
func Dial(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), peer, address string) (*Conn, error) {
	deadline, _ := ctx.Deadline()
	c, err := dial(ctx, peer)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	out := &Conn{Conn: c, in: bufio.NewReader(c)}
	framing, err := open(c, out.in, address, clock.Until(deadline))
	if err == nil && framing == "" {
		out.witness, err = openWitness(ctx, dial, peer)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = out.Close()
		return nil, err
	}
	return out, nil
}

// open asks the node at the other end of c, which in reads, to connect to the endpoint. It returns the framing of the answer.
func open(c net.Conn, in *bufio.Reader, address string, timeout time.Duration) (framing string, err error) {
	if _, err := c.Write([]byte(Prefix)); err != nil {
		return "", Error.Wrap(err)
	}
	r := request{Address: address, Timeout: timeout - timeout/replyMargin, Framings: []string{framingLength}}
	if err := writeMessage(c, r); err != nil {
		return "", Error.Wrap(err)
	}
	var answer reply
	if err := readMessage(in, &answer); err != nil {
		return "", Error.Wrap(err)
	}
	switch {
	case answer.Result == refused:
		return "", ErrRefused
	case answer.Result != connected:
		return "", Error.New("the other node did not reach %s", address)
	case answer.Framing != "" && answer.Framing != framingLength:
		return "", Error.New("the other node answers with the unknown framing %q", answer.Framing)
	default:
		return answer.Framing, nil
	}
}
