package exchange

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Refuses reports whether the address refuses connections, which shows that no
// process listens there. Silence and other errors show nothing.
func Refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		// A close that fails leaves nothing to do; the server lives.
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
