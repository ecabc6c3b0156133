package limit

import (
	"container/list"
	"net"
	"sync"
)

// RotatingListener accepts connections up to a limit and closes the oldest one in favour of a new one. It suits short requests, whose
// connections are the newest, so that clients that hold connections don't keep others out.
type RotatingListener struct {
	net.Listener
	// Limit is the greatest number of open connections.
	Limit int

	mutex sync.Mutex
	open  *list.List // of *rotatingConn, the oldest first
}

// NewRotatingListener returns a listener; its exported fields have to be set before use.
func NewRotatingListener(inner net.Listener) *RotatingListener {
	return &RotatingListener{Listener: inner, open: list.New()}
}

// Accept returns the next connection; at the limit, the oldest one is closed.
func (l *RotatingListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &rotatingConn{Conn: inner, listener: l}
	if oldest := l.add(conn); oldest != nil {
		_ = oldest.Conn.Close() // its user gets an error and closes it again
	}
	return conn, nil
}

// add registers a connection and returns the one that it replaces, or nil.
func (l *RotatingListener) add(conn *rotatingConn) (oldest *rotatingConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open.Len() > 0 && l.open.Len() >= l.Limit {
		oldest = l.open.Remove(l.open.Front()).(*rotatingConn)
		oldest.element = nil
	}
	conn.element = l.open.PushBack(conn)
	return oldest
}

// remove unregisters a connection.
func (l *RotatingListener) remove(conn *rotatingConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if conn.element != nil {
		l.open.Remove(conn.element)
		conn.element = nil
	}
}

// Exempt makes a connection of a rotating listener no longer count towards its limit, nor give way to others.
func Exempt(conn net.Conn) {
	if rotating, ok := conn.(*rotatingConn); ok {
		rotating.listener.remove(rotating)
	}
}

// rotatingConn is a connection that counts towards the limit until it is closed or replaced.
type rotatingConn struct {
	net.Conn
	listener *RotatingListener
	element  *list.Element // nil once it does not count; guarded by the listener's mutex
}

// Close closes the connection and frees its place under the limit.
func (c *rotatingConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
