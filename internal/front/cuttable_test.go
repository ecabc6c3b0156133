package front_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// switchable forwards connections until it is cut; then it ends them and refuses new ones.
type switchable struct {
	target string

	mutex    sync.Mutex
	listener net.Listener
	conns    []net.Conn
}

// start listens and returns the address.
func (s *switchable) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = listener
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.forward(conn)
		}
	}()
	t.Cleanup(func() {
		s.cut()
		<-ended
	})
	return listener.Addr().String()
}

// forward carries one connection both ways.
func (s *switchable) forward(conn net.Conn) {
	target, err := net.Dial("tcp4", s.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	s.mutex.Lock()
	s.conns = append(s.conns, conn, target)
	s.mutex.Unlock()
	go func() { _, _ = io.Copy(target, conn); _ = target.Close() }()
	_, _ = io.Copy(conn, target)
	_ = conn.Close()
}

// cut ends all connections and refuses new ones.
func (s *switchable) cut() {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
}
