package auth

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"

	"redwingspread/internal/model"
)

// KeyMaterial is one host's certificate, its private key and the authorities that it trusts, as PEM.
type KeyMaterial struct {
	Certificate string
	Key         string
	Authorities string // certificates, several during a change of authority
}

// Keys is a host's parsed key material.
type Keys struct {
	// OnRefused is called with the common name of a peer's refused certificate; it may be nil.
	OnRefused func(name string, err error)

	certificate tls.Certificate
	authorities *x509.CertPool
}

// LoadKeys parses the material; its errors never contain the private key.
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

// ServerTLS returns the TLS configuration of the peer API, which accepts only clients whose certificate a trusted authority signed.
func (k *Keys) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		ClientCAs:    k.authorities,
		// The chain is verified here and not by crypto/tls, so that a refusal can be reported.
		VerifyConnection: k.verifyClient,
	}
}

// verifyClient refuses a peer without a client certificate that a trusted authority signed.
func (k *Keys) verifyClient(state tls.ConnectionState) (err error) {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
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

// ClientTLS returns the TLS configuration of a host that dials its peers by IP address.
func (k *Keys) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		RootCAs:      k.authorities,
	}
}

// PublicTLS returns the TLS configuration of the caller and operator APIs, whose clients send tokens instead of certificates.
func (k *Keys) PublicTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{k.certificate}}
}

// PeerHost returns the host that the peer's certificate names, on a connection that passed the handshake.
func PeerHost(state tls.ConnectionState) (host model.HostID, err error) {
	if !state.HandshakeComplete || len(state.PeerCertificates) == 0 {
		return "", errors.New("peer sent no certificate")
	}
	leaf := state.PeerCertificates[0]
	if leaf.Subject.CommonName == "" {
		return "", errors.New("peer's certificate names no host")
	}
	return model.HostID(leaf.Subject.CommonName), nil
}
