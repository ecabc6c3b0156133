package trust

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"redwingspread/internal/config"
	"redwingspread/internal/settings"
)

// pemStart begins a value that is PEM itself and not the name of a file.
const pemStart = "-----BEGIN"

// guardOpen is the value of the setting that lets every request in.
const guardOpen = "open"

// Configured returns the keys of a host's settings, or nil when none of the three settings is set.
func Configured(s settings.Serve) (keys *Keys, err error) {
	if s.Certificate == "" && s.Key == "" && s.Authorities == "" {
		return nil, nil
	}
	var material Material
	values := []struct {
		name, value string
		to          *string
	}{
		{"certificate", s.Certificate, &material.Certificate},
		{"key", string(s.Key), &material.Key},
		{"authorities", s.Authorities, &material.Authorities},
	}
	for _, value := range values {
		if *value.to, err = readPEM(value.value); err != nil {
			return nil, fmt.Errorf("setting %s: %w", value.name, err)
		}
	}
	return Load(material)
}

// readPEM returns a value that is PEM, or the content of the file that it names.
func readPEM(value string) (string, error) {
	if strings.HasPrefix(strings.TrimSpace(value), pemStart) {
		return value, nil
	}
	if value == "" {
		return "", fmt.Errorf("is empty, but certificate, key and authorities belong together")
	}
	text, err := os.ReadFile(value)
	return string(text), err
}

// Open reports whether the settings let every request in, which they may on the loopback alone.
func Open(s settings.Serve) (open bool, err error) {
	if s.Guard != guardOpen {
		return false, nil
	}
	for _, address := range []string{string(s.CallerAddress), string(s.OperatorAddress)} {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil || !parsed.Addr().IsLoopback() {
			return false, fmt.Errorf("setting guard is %q, allowed: tokens, since %s is not on the loopback", s.Guard, address)
		}
	}
	return true, nil
}

// FirstOperator returns the token of the first operator from the settings; without a sound hash it opens nothing.
func FirstOperator(s settings.Serve) config.Token {
	return config.Token{Name: "first-operator", Right: config.RightOperator, Hash: s.FirstOperator}
}
