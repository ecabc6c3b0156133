package auth

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"

	"redwingspread/internal/model"
)

// KeyMaterial is one host's certificate, its private key and the authorities it accepts, as PEM.
type KeyMaterial struct {
	Certificate string
	Key         string
	Authorities string // several during a change of keys
}

// Keys is a host's checked material.
type Keys struct {
	// OnRefused is told of a peer whose certificate was refused, by the name that it claims; it may be nil.
	OnRefused func(name string, err error)

	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadKeys checks the material and returns its keys; no error repeats the private key.
func LoadKeys(m KeyMaterial) (keys *Keys, err error) {
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
		ClientAuth:   tls.RequireAnyClientCert,
		ClientCAs:    k.authorities,
		// The chain is verified here and not by the library, so that a refusal can be told.
		VerifyConnection: k.verifyClient,
	}
}

// verifyClient refuses a peer without a certificate that an authority signed for clients.
func (k *Keys) verifyClient(state tls.ConnectionState) (err error) {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer shows no certificate")
	}
	leaf := state.PeerCertificates[0]
	options := x509.VerifyOptions{
		Roots:         k.authorities,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	if _, err = leaf.Verify(options); err != nil && k.OnRefused != nil {
		k.OnRefused(leaf.Subject.CommonName, err)
	}
	return err
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

// PeerHost returns the host that the other side's certificate names, on a connection that was let in.
func PeerHost(state tls.ConnectionState) (host model.HostID, err error) {
	if !state.HandshakeComplete || len(state.PeerCertificates) == 0 {
		return "", errors.New("peer shows no certificate")
	}
	leaf := state.PeerCertificates[0]
	if leaf.Subject.CommonName == "" {
		return "", errors.New("peer's certificate names no host")
	}
	return model.HostID(leaf.Subject.CommonName), nil
}
