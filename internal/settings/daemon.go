package settings

// Daemon is the content of balsamd.ini.
type Daemon struct {
	Identity Identity
	Listen   Listen
	Trust    Trust
	Platform Platform
	Peers    Peers
	Logging  Logging
}
