package settings

import (
	"errors"
	"fmt"
	"net"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Listen is the section [listen] of balsamd.ini.
type Listen struct {
	Callers   ids.Address `ini:"callers" default:"127.0.0.1:8080" unit:"IP:port" doc:"Address for callers, HTTP/1.1 and HTTP/2."`
	Peers     ids.Address `ini:"peers" default:"127.0.0.1:8081" unit:"IP:port" doc:"Address for other daemons, QUIC."`
	Operators ids.Address `ini:"operators" default:"127.0.0.1:8082" unit:"IP:port" doc:"Address for the command-line client and for metrics."`
	Announce  ids.Address `ini:"announce" default:"127.0.0.1:8083" unit:"IP:port" doc:"Address where backend servers of this VM announce themselves."`
	Cert      string      `ini:"cert" default:"" unit:"file" doc:"Certificate for callers; empty serves without TLS."`
	Key       string      `ini:"key" default:"" unit:"file" doc:"Private key of cert."`
}

// Check returns an error for the first invalid value, or nil.
func (l Listen) Check() error {
	for _, a := range []ids.Address{l.Callers, l.Peers, l.Operators, l.Announce} {
		if err := checkAddress(a); err != nil {
			return err
		}
	}
	if (l.Cert == "") != (l.Key == "") {
		return errors.New("cert and key must be given together")
	}
	return nil
}

func checkAddress(a ids.Address) error {
	host, _, err := net.SplitHostPort(string(a))
	if err != nil {
		return fmt.Errorf("%q is not an IP number with a port", a)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q does not start with an IP number", a)
	}
	return nil
}
