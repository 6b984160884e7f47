package exchange

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// RefusesConnections reports whether the address refuses connections, which proves
// that no process listens there. A timeout or any other error proves nothing and
// returns false.
func RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		// The server accepted the connection, whatever the result of the close.
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
