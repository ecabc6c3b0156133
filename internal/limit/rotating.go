package limit

import (
	"container/list"
	"net"
	"sync"
)

// RotatingListener accepts connections up to a limit and closes the oldest one in favour of a new one. It suits short requests, whose
// connections are the newest, so that clients that hold connections don't keep others out. Connections on hold count, but are not closed;
// if all are, the new one is.
type RotatingListener struct {
	net.Listener
	// Limit is the greatest number of open connections.
	Limit int
	// Full is called when a connection is closed for lack of room; it must not block. It may be nil.
	Full func()

	mutex sync.Mutex
	open  *list.List // of *rotatingConn, the oldest first
	held  int        // connections on hold
}

// NewRotatingListener returns a listener; its exported fields have to be set before use.
func NewRotatingListener(inner net.Listener) *RotatingListener {
	return &RotatingListener{Listener: inner, open: list.New()}
}

// Accept returns the next connection; at the limit, the oldest one is closed.
func (l *RotatingListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &rotatingConn{Conn: inner, listener: l}
		closed := l.add(conn)
		if closed == nil {
			return conn, nil
		}
		_ = closed.Conn.Close() // the user of an older one gets an error and closes it again
		if l.Full != nil {
			l.Full()
		}
		if closed != conn {
			return conn, nil
		}
	}
}

// add registers a connection and returns the one to be closed: the one that it replaces, itself if none may be replaced, or nil.
func (l *RotatingListener) add(conn *rotatingConn) (oldest *rotatingConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open.Len() == 0 && l.held > 0 && l.held >= l.Limit {
		return conn
	}
	if l.open.Len() > 0 && l.open.Len()+l.held >= l.Limit {
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
	if conn.held {
		l.held--
		conn.held = false
	}
}

// Hold keeps a connection of a rotating listener from being closed in favour of others until Yield.
func Hold(conn net.Conn) {
	c, ok := conn.(*rotatingConn)
	if !ok {
		return
	}
	l := c.listener
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c.element != nil {
		l.open.Remove(c.element)
		c.element = nil
		l.held++
		c.held = true
	}
}

// Yield ends Hold; the connection becomes the newest one.
func Yield(conn net.Conn) {
	c, ok := conn.(*rotatingConn)
	if !ok {
		return
	}
	l := c.listener
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c.held {
		l.held--
		c.held = false
		c.element = l.open.PushBack(c)
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
	element  *list.Element // nil while it is on hold, and once it does not count; guarded by the listener's mutex
	held     bool          // guarded by the listener's mutex
}

// Close closes the connection and frees its place under the limit.
func (c *rotatingConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
