package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"

	"redwingspread/internal/config"
	"redwingspread/internal/settings"
)

// guardOpen is the value of the setting guard that allows every request.
const guardOpen = "open"

// OpenAccess reports whether the settings allow every request, which is only valid on loopback addresses.
func OpenAccess(s settings.Serve) (open bool, err error) {
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

// FirstOperator returns the token of the first operator from the settings; without a hash it matches no token.
func FirstOperator(s settings.Serve) (token config.Token, err error) {
	raw, err := hex.DecodeString(s.FirstOperator)
	if err != nil || s.FirstOperator != "" && len(raw) != sha256.Size {
		return config.Token{}, errors.New("setting first-operator, allowed: the hash that `redwingspread keys first` prints, or nothing")
	}
	return config.Token{Name: "first-operator", Role: config.RoleOperator, Hash: s.FirstOperator}, nil
}
