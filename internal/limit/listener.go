package limit

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections up to a limit and closes excess ones at once.
type Listener struct {
	net.Listener
	// Limit is the greatest number of open connections.
	Limit int

	open atomic.Int64 // connections accepted and not yet closed
}

// NewListener returns a listener; its exported fields have to be set before use.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner}
}

// Accept returns the next connection within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.Limit) {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		_ = conn.Close() // nothing was read, so no request was run
	}
}

// countedConn is a connection that counts towards the limit until it is closed.
type countedConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Close closes the connection and frees its place under the limit.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
