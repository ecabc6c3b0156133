package cli

import (
	"fmt"
	"os"
	"strings"

	"redwingspread/internal/auth"
	"redwingspread/internal/settings"
)

// pemStart is how PEM text begins; any other text is a path.
const pemStart = "-----BEGIN"

// loadKeys reads and checks the keys that prove a host to its peers.
func loadKeys(loaded settings.Serve) (keys *auth.Keys, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("keys: %w", err)
		}
	}()
	var material auth.KeyMaterial
	if material.Authorities, err = readPEM(loaded.PeerAuthorities); err != nil {
		return nil, err
	}
	if material.Certificate, err = readPEM(loaded.PeerCertificate); err != nil {
		return nil, err
	}
	if material.Key, err = readPEM(string(loaded.PeerKey)); err != nil {
		return nil, err
	}
	return auth.LoadKeys(material)
}

// readPEM returns PEM text as it is, or the content of the file that the text names.
func readPEM(text string) (string, error) {
	if strings.HasPrefix(text, pemStart) {
		return text, nil
	}
	content, err := os.ReadFile(text)
	return string(content), err
}
