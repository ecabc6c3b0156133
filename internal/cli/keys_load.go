package cli

import (
	"fmt"
	"os"
	"strings"

	"redwingspread/internal/settings"
	"redwingspread/internal/trust"
)

// pemPrefix is how PEM text begins; any other text is a path.
const pemPrefix = "-----BEGIN"

// loadKeys reads and checks the keys that prove a host to its peers.
func loadKeys(loaded settings.Serve) (keys *trust.Keys, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("keys: %w", err)
		}
	}()
	var material trust.Material
	if material.Authorities, err = pemText(loaded.PeerAuthorities); err != nil {
		return nil, err
	}
	if material.Certificate, err = pemText(loaded.PeerCertificate); err != nil {
		return nil, err
	}
	if material.Key, err = pemText(string(loaded.PeerKey)); err != nil {
		return nil, err
	}
	return trust.Load(material)
}

// pemText returns PEM text as it is, or the content of the file that the text names.
func pemText(text string) (string, error) {
	if strings.HasPrefix(text, pemPrefix) {
		return text, nil
	}
	content, err := os.ReadFile(text)
	return string(content), err
}
