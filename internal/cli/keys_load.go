package cli

import (
	"fmt"
	"os"
	"strings"

	"redwingspread/internal/auth"
	"redwingspread/internal/settings"
)

// pemPrefix marks a setting as PEM text; any other value is a path.
const pemPrefix = "-----BEGIN"

// loadKeys loads the certificate, key and authorities that a host uses for mutual TLS with its peers.
func loadKeys(loaded settings.Serve) (keys *auth.Keys, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load keys: %w", err)
		}
	}()
	var material auth.KeyMaterial
	if material.Authorities, err = pemText(loaded.PeerAuthorities); err != nil {
		return nil, err
	}
	if material.Certificate, err = pemText(loaded.PeerCertificate); err != nil {
		return nil, err
	}
	if material.Key, err = pemText(string(loaded.PeerKey)); err != nil {
		return nil, err
	}
	return auth.LoadKeys(material)
}

// pemText returns a PEM value as it is, or the content of the file at that path.
func pemText(value string) (string, error) {
	if strings.HasPrefix(value, pemPrefix) {
		return value, nil
	}
	content, err := os.ReadFile(value)
	return string(content), err
}
