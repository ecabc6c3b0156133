package front_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// cuttableProxy is a TCP proxy that can be cut, which closes its connections and refuses new ones.
type cuttableProxy struct {
	target string

	mutex    sync.Mutex
	listener net.Listener
	conns    []net.Conn
}

// start listens and returns the proxy's address.
func (p *cuttableProxy) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.accept(t, listener)
	return listener.Addr().String()
}

// restore accepts connections again at the same address.
func (p *cuttableProxy) restore(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp4", p.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p.accept(t, listener)
}

// accept forwards connections until the listener is closed.
func (p *cuttableProxy) accept(t *testing.T, listener net.Listener) {
	p.listener = listener
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	t.Cleanup(func() {
		p.cut()
		<-ended
	})
}

// forward copies one connection in both directions.
func (p *cuttableProxy) forward(conn net.Conn) {
	target, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.mutex.Lock()
	p.conns = append(p.conns, conn, target)
	p.mutex.Unlock()
	go func() { _, _ = io.Copy(target, conn); _ = target.Close() }()
	_, _ = io.Copy(conn, target)
	_ = conn.Close()
}

// cut closes all connections and stops listening.
func (p *cuttableProxy) cut() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}
