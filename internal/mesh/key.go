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
	// macSize is the length of a seal in bytes, half of the digest, which no one guesses in a host's life.
	macSize = 16
)

// Key is the common key of the hosts.
type Key [KeySize]byte

// NewKey returns a random key.
func NewKey() (key Key) {
	_, _ = rand.Read(key[:]) // crypto/rand ends the process rather than fail
	return key
}

// ErrInvalidMAC is the error of a message that no host has sealed.
var ErrInvalidMAC = errors.New("the seal is not that of a host")

// computeMAC returns the seal of a message for one purpose.
func (k *Key) computeMAC(purpose string, body []byte) []byte {
	mac := hmac.New(sha256.New, k[:])
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write(body)
	return mac.Sum(nil)[:macSize]
}

// verifyMAC returns ErrSeal unless the seal is that of the message.
func (k *Key) verifyMAC(purpose string, body, seal []byte) error {
	if !hmac.Equal(k.computeMAC(purpose, body), seal) {
		return ErrInvalidMAC
	}
	return nil
}

// The purposes of seals, so that no message passes for one of another kind.
const (
	purposeHeartbeat = "beat"
	purposeRequest   = "ask"
	purposeResponse  = "answer"
)
