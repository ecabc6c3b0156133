package local

import (
	"fmt"
	"net"

	"redwingspread/internal/model"
)

// listenTCP opens a socket on a free loopback port.
func listenTCP() (net.Listener, model.Address, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("local: %w", err)
	}
	return listener, model.Address(listener.Addr().String()), nil
}

// freeTCP returns a loopback address whose TCP port was free a moment ago.
func freeTCP() (model.Address, error) {
	listener, address, err := listenTCP()
	if err != nil {
		return "", err
	}
	return address, listener.Close()
}

// freeUDP returns a loopback address whose UDP port was free a moment ago.
func freeUDP() (model.Address, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("local: %w", err)
	}
	return model.Address(socket.LocalAddr().String()), socket.Close()
}
