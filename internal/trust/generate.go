package trust

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
	lasts       time.Duration
}

// NewAuthority makes an authority whose certificate and signatures last from the time on.
func NewAuthority(now time.Time, lasts time.Duration) (authority *Authority, err error) {
	defer annotate(&err, "make an authority")
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := template("redwingspread authority", now, lasts)
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
	return &Authority{certificate: certificate, key: key, pem: encode("CERTIFICATE", der), lasts: lasts}, nil
}

// PEM returns the authority's certificate.
func (a *Authority) PEM() string {
	return a.pem
}

// Sign makes a new key and certificate for a host that listens at the IP numbers.
func (a *Authority) Sign(host model.HostID, addresses []netip.Addr, now time.Time) (material Material, err error) {
	defer annotate(&err, "sign host "+string(host))
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, err
	}
	template, err := template(string(host), now, a.lasts)
	if err != nil {
		return Material{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames = []string{string(host)}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, address.AsSlice())
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Material{}, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Material{}, err
	}
	return Material{
		Certificate: encode("CERTIFICATE", der),
		Key:         encode("PRIVATE KEY", private),
		Authorities: a.pem,
	}, nil
}

// Generate makes the material of every host of a trial at 127.0.0.1 under one new authority.
func Generate(hosts []model.HostID, now time.Time, lasts time.Duration) (made map[model.HostID]Material, err error) {
	authority, err := NewAuthority(now, lasts)
	if err != nil {
		return nil, err
	}
	made = make(map[model.HostID]Material, len(hosts))
	for _, host := range hosts {
		material, err := authority.Sign(host, []netip.Addr{netip.MustParseAddr("127.0.0.1")}, now)
		if err != nil {
			return nil, err
		}
		made[host] = material
	}
	return made, nil
}

// template returns the common part of a certificate.
func template(name string, now time.Time, lasts time.Duration) (*x509.Certificate, error) {
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

// encode returns one PEM block.
func encode(label string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: label, Bytes: der}))
}

// annotate adds what was tried to an error.
func annotate(err *error, tried string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", tried, *err)
	}
}
