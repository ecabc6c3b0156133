package auth

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/netip"
	"time"

	"redwingspread/internal/model"
)

// serialBits is the length of a certificate's serial number in bits.
const serialBits = 120

// Authority is a certificate authority for the hosts of a test deployment.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         string
	validity    time.Duration
}

// NewAuthority creates an authority; its own certificate and those that it signs are valid for the given time.
func NewAuthority(now time.Time, validity time.Duration) (authority *Authority, err error) {
	defer wrapError(&err, "create an authority")
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("redwingspread authority", now, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key, pem: encodePEM("CERTIFICATE", der), validity: validity}, nil
}

// PEM returns the authority's certificate as PEM.
func (a *Authority) PEM() string {
	return a.pem
}

// Sign creates a new key and certificate for a host that listens on the IP addresses.
func (a *Authority) Sign(host model.HostID, addresses []netip.Addr, now time.Time) (material KeyMaterial, err error) {
	defer wrapError(&err, "sign host "+string(host))
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyMaterial{}, err
	}
	template, err := newTemplate(string(host), now, a.validity)
	if err != nil {
		return KeyMaterial{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{string(host)}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, address.AsSlice())
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return KeyMaterial{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyMaterial{}, err
	}
	return KeyMaterial{
		Certificate: encodePEM("CERTIFICATE", der),
		Key:         encodePEM("PRIVATE KEY", keyDER),
		Authorities: a.pem,
	}, nil
}

// Generate creates the key material of hosts that listen on 127.0.0.1, signed by one new authority.
func Generate(hosts []model.HostID, now time.Time, validity time.Duration) (materials map[model.HostID]KeyMaterial, err error) {
	authority, err := NewAuthority(now, validity)
	if err != nil {
		return nil, err
	}
	materials = make(map[model.HostID]KeyMaterial, len(hosts))
	for _, host := range hosts {
		material, err := authority.Sign(host, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, now)
		if err != nil {
			return nil, err
		}
		materials[host] = material
	}
	return materials, nil
}

// newTemplate returns the fields that all certificates share.
func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

// clockSkew is the tolerated difference between the clocks of two hosts when a certificate is new.
const clockSkew = 5 * time.Minute

// encodePEM encodes data as one PEM block.
func encodePEM(label string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: label, Bytes: der}))
}

// wrapError prefixes an error, if there is one, with the failed operation.
func wrapError(err *error, operation string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", operation, *err)
	}
}
