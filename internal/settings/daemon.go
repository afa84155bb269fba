package settings

// Daemon holds the settings of balsamd.ini, a field for each section.
type Daemon struct {
	Identity Identity
	Listen   Listen
	Trust    Trust
	Platform Platform
	Peers    Peers
	Logging  Logging
}
