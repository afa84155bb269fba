package settings

import (
	"errors"
	"strings"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Team is the section teams/TEAM.
type Team struct {
	Credential ids.Hash `ini:"credential" default:"" unit:"hex SHA-256" doc:"SHA-256 of the credential with which the team's operators edit their subtree."`
}

// Check implements Section.
func (t Team) Check() error {
	if !isHexSHA256(string(t.Credential)) {
		return errors.New("credential must be 64 hexadecimal digits in lower case")
	}
	return nil
}

func isHexSHA256(s string) bool {
	if len(s) != 64 {
		return false
	}
	return strings.Trim(s, "0123456789abcdef") == ""
}
