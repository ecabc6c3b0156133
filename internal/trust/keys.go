package trust

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"

	"redwingspread/internal/model"
)

// Material is one host's certificate, its private key and the authorities it accepts, as PEM.
type Material struct {
	Certificate string
	Key         string
	Authorities string // several during a change of keys
}

// Keys is a host's checked material.
type Keys struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load checks the material and returns its keys; no error repeats the private key.
func Load(m Material) (keys *Keys, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load keys: %w", err)
		}
	}()
	certificate, err := tls.X509KeyPair([]byte(m.Certificate), []byte(m.Key))
	if err != nil {
		return nil, err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM([]byte(m.Authorities)) {
		return nil, errors.New("no authority's certificate in PEM")
	}
	return &Keys{certificate: certificate, authorities: authorities}, nil
}

// ServerTLS returns the configuration of a peer interface, which takes only hosts whose certificate an authority signed.
func (k *Keys) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    k.authorities,
	}
}

// ClientTLS returns the configuration of a host that dials its peers by IP number.
func (k *Keys) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		RootCAs:      k.authorities,
	}
}

// PublicTLS returns the configuration of the caller and operator interfaces, whose users show tokens instead of certificates.
func (k *Keys) PublicTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{k.certificate}}
}

// Peer returns the host that the other side's verified certificate names.
func Peer(state tls.ConnectionState) (host model.HostID, err error) {
	if len(state.VerifiedChains) == 0 {
		return "", errors.New("peer shows no verified certificate")
	}
	leaf := state.VerifiedChains[0][0]
	if leaf.Subject.CommonName == "" {
		return "", errors.New("peer's certificate names no host")
	}
	return model.HostID(leaf.Subject.CommonName), nil
}
