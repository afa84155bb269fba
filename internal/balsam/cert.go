package balsam

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/ids"
)

const day = 24 * time.Hour

// certOptions is the argument that names where certificates are kept.
type certOptions struct {
	Dir  string `short:"o" long:"dir" default:"." value-name:"DIR" description:"Directory of the certificates"`
	Days int    `long:"days" default:"365" description:"Days for which the certificate is valid"`
}

// validity returns the time for which the certificate is valid.
func (d *certOptions) validity() (time.Duration, error) {
	if d.Days < 1 {
		return 0, exitErrorf(Usage, "days is %d, but must be 1 or more", d.Days)
	}
	return time.Duration(d.Days) * day, nil
}

// certAuthority makes a certificate authority for a small installation.
type certAuthority struct {
	session *session
	certOptions
}

// Execute implements flags.Commander.
func (c *certAuthority) Execute([]string) error {
	validity, err := c.validity()
	if err != nil {
		return err
	}
	issuer, err := certs.NewIssuer(time.Now(), validity)
	if err != nil {
		return exitErrorf(Failed, "%v", err)
	}
	if err := issuer.Save(c.Dir); err != nil {
		return exitErrorf(Failed, "%v", err)
	}
	fmt.Fprintln(c.session.stdout, "wrote authority.crt, which every daemon needs, and authority.key, which none needs")
	return nil
}

// certIssue makes the certificate of one daemon.
type certIssue struct {
	session *session
	certOptions
	Args struct {
		Name string `positional-arg-name:"DAEMON" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *certIssue) Execute([]string) error {
	validity, err := c.validity()
	if err != nil {
		return err
	}
	if c.Args.Name == "authority" || strings.ContainsAny(c.Args.Name, "/"+string(os.PathSeparator)) {
		return exitErrorf(Usage, "%q can't be the name of a daemon's certificate", c.Args.Name)
	}
	issuer, err := certs.LoadIssuer(c.Dir)
	if err != nil {
		return exitErrorf(Failed, "%v\nMake an authority with balsam cert authority.", err)
	}
	id := ids.Daemon(c.Args.Name)
	cert, err := issuer.Issue(id, time.Now(), validity)
	if err != nil {
		return exitErrorf(Failed, "%v", err)
	}
	if err := cert.Save(c.Dir, id); err != nil {
		return exitErrorf(Failed, "%v", err)
	}
	_, err = io.WriteString(c.session.stdout, "wrote "+c.Args.Name+".crt and "+c.Args.Name+".key\n")
	return err
}
