package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/internal/standin"
	"redwingspread/internal/standin/instance"
)

// framingSamples is the number of calls over which the framing is measured.
const framingSamples = 100

// countingConn counts the bytes of a connection, both ways.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what came in.
func (c countingConn) Read(part []byte) (int, error) {
	n, err := c.Conn.Read(part)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what went out.
func (c countingConn) Write(part []byte) (int, error) {
	n, err := c.Conn.Write(part)
	c.bytes.Add(int64(n))
	return n, err
}

// MeasureFraming returns the bytes of the headers of one call of an instance, both ways, on a kept connection.
func MeasureFraming(ctx context.Context) (framing Bytes, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("measure framing: %w", err)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	standIn := instance.New()
	standIn.ID = "database0000-0"
	standIn.Database = "database0000"
	ends := make(chan error, 2)
	go standIn.Run(ctx, ends)
	go standin.Serve(ctx, listener, standIn.Handler(), ends)
	framing, err = measureFraming(ctx, model.Address(listener.Addr().String()))
	cancel()
	<-ends
	<-ends
	return framing, err
}

// measureFraming counts the bytes of calls of an instance, without their bodies.
func measureFraming(ctx context.Context, address model.Address) (Bytes, error) {
	var bytes atomic.Int64
	transport := outbound.NewTransport()
	defer transport.CloseIdleConnections()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
		conn, err := dial(ctx, network, to)
		return countingConn{Conn: conn, bytes: &bytes}, err
	}
	client := endpoint.NewClient()
	client.Host = "host0000"
	client.Target = model.Instance{Address: address}
	client.HTTP = &http.Client{Transport: transport}
	var bodies Bytes
	for range framingSamples {
		state, err := client.State(ctx)
		if err != nil {
			return 0, err
		}
		bodies += stateSize(state)
	}
	return (Bytes(bytes.Load()) - bodies) / framingSamples, nil
}
