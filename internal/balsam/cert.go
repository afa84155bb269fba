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

// certOptions are the options of commands that write certificates.
type certOptions struct {
	Dir  string `short:"o" long:"dir" default:"." value-name:"DIR" description:"Directory of the certificates"`
	Days int    `long:"days" default:"365" description:"Days for which the certificate is valid"`
}

// validity returns how long the certificate is valid.
func (d *certOptions) validity() (time.Duration, error) {
	if d.Days < 1 {
		return 0, exitErrorf(Usage, "--days is %d, but must be 1 or more", d.Days)
	}
	return time.Duration(d.Days) * day, nil
}

// certAuthority creates a certificate authority for a small installation.
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

// certIssue creates the certificate and key of one daemon, signed by the authority in
// the same directory.
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
		return exitErrorf(Usage, "invalid daemon name %q: a daemon can't be named authority, and its name can't contain a path separator", c.Args.Name)
	}
	issuer, err := certs.LoadIssuer(c.Dir)
	if err != nil {
		return exitErrorf(Failed, "%v\nCreate an authority with balsam cert authority.", err)
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
