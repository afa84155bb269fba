package settings

import (
	"errors"
	"fmt"
	"strings"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Key is the section teams/TEAM/keys/NAME. Only the hash of a key
// is stored.
type Key struct {
	Hash    ids.Hash `ini:"hash" default:"" unit:"hex SHA-256" doc:"SHA-256 of the key that callers present."`
	Account string   `ini:"account" default:"" unit:"name" doc:"Client account of the same team that the key stands for."`
}

// Check implements Section.
func (k Key) Check() error {
	if !isHexSHA256(string(k.Hash)) {
		return errors.New("hash must be 64 hexadecimal digits in lower case")
	}
	if k.Account == "" || strings.Contains(k.Account, "/") {
		return fmt.Errorf("account is %q, but must name a client account of the same team", k.Account)
	}
	return nil
}
