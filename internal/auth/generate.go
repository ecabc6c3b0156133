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

// serialBits is the length of a certificate's serial number.
const serialBits = 120

// Authority signs the certificates of a trial's hosts.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         string
	validity    time.Duration
}

// NewAuthority makes an authority whose certificate and signatures last from the time on.
func NewAuthority(now time.Time, lasts time.Duration) (authority *Authority, err error) {
	defer wrapError(&err, "make an authority")
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("redwingspread authority", now, lasts)
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
	return &Authority{certificate: certificate, key: key, pem: encodePEM("CERTIFICATE", der), validity: lasts}, nil
}

// PEM returns the authority's certificate.
func (a *Authority) PEM() string {
	return a.pem
}

// Sign makes a new key and certificate for a host that listens at the IP numbers.
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
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyMaterial{}, err
	}
	return KeyMaterial{
		Certificate: encodePEM("CERTIFICATE", der),
		Key:         encodePEM("PRIVATE KEY", private),
		Authorities: a.pem,
	}, nil
}

// Generate makes the material of every host of a trial at 127.0.0.1 under one new authority.
func Generate(hosts []model.HostID, now time.Time, lasts time.Duration) (made map[model.HostID]KeyMaterial, err error) {
	authority, err := NewAuthority(now, lasts)
	if err != nil {
		return nil, err
	}
	made = make(map[model.HostID]KeyMaterial, len(hosts))
	for _, host := range hosts {
		material, err := authority.Sign(host, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, now)
		if err != nil {
			return nil, err
		}
		made[host] = material
	}
	return made, nil
}

// newTemplate returns the common part of a certificate.
func newTemplate(name string, now time.Time, lasts time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lasts),
	}, nil
}

// clockSkew is how far the clocks of two hosts may lie apart when a certificate is new.
const clockSkew = 5 * time.Minute

// encodePEM returns one PEM block.
func encodePEM(label string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: label, Bytes: der}))
}

// wrapError adds what was tried to an error.
func wrapError(err *error, tried string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", tried, *err)
	}
}
