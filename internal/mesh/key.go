package mesh

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
)

const (
	// KeySize is the length of a key in bytes.
	KeySize = 32
	// macSize is the length of a MAC in bytes: half of the digest, too long to be guessed during a host's life.
	macSize = 16
)

// Key is the key shared by all hosts.
type Key [KeySize]byte

// NewKey returns a random key.
func NewKey() (key Key) {
	_, _ = rand.Read(key[:]) // crypto/rand crashes the process instead of returning an error
	return key
}

// ErrInvalidMAC is the error of a message that no host has authenticated.
var ErrInvalidMAC = errors.New("invalid message authentication code")

// computeMAC returns the MAC of a message for one purpose.
func (k *Key) computeMAC(purpose string, body []byte) []byte {
	mac := hmac.New(sha256.New, k[:])
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write(body)
	return mac.Sum(nil)[:macSize]
}

// verifyMAC returns ErrInvalidMAC unless the MAC belongs to the message.
func (k *Key) verifyMAC(purpose string, body, mac []byte) error {
	if !hmac.Equal(k.computeMAC(purpose, body), mac) {
		return ErrInvalidMAC
	}
	return nil
}

// Purposes of MACs, so that a message of one type is never accepted as another.
const (
	purposeHeartbeat = "beat"
	purposeRequest   = "ask"
	purposeResponse  = "answer"
)
