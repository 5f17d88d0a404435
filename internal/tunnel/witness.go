package tunnel

import (
	"bufio"
	"context"
	"net"
	"time"
)

// witnessTimeout bounds the wait for a node to answer on its witness.
const witnessTimeout = 500 * time.Millisecond

// witness is a second connection to the node that carries a tunnel, for nodes of earlier versions, which send no frames. It is opened
// before the tunnel is used. A process that dies ends all its connections, so a node that answers on the witness after the tunnel
// has ended was alive when that happened, and has passed on the end of the endpoint's connection.
type witness struct{ conn net.Conn }

func openWitness(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), peer string) (*witness, error) {
	c, err := dial(ctx, peer)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &witness{c}, nil
}

// isAlive reports whether the node still runs. It may be called once.
func (w *witness) isAlive() bool {
	_ = w.conn.SetDeadline(time.Now().Add(witnessTimeout))
	if _, err := w.conn.Write([]byte(Prefix)); err != nil {
		return false
	}
	// Any answer will do: no endpoint has an empty address.
	if err := writeMessage(w.conn, request{Timeout: witnessTimeout}); err != nil {
		return false
	}
	var answer reply
	return readMessage(bufio.NewReaderSize(w.conn, maxMessage), &answer) == nil
}

func (w *witness) close() { _ = w.conn.Close() }
