package balsam

import (
	"crypto/rand"
	"fmt"
	"io"
	"strings"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/api"
)

// keyGrant creates a key for a client account. Only the hash of the key is published.
type keyGrant struct {
	session *session
	waitOption
	Args struct {
		Account string `positional-arg-name:"ACCOUNT" required:"yes" description:"Client account of the team"`
		Name    string `positional-arg-name:"NAME" required:"yes" description:"Name by which the key is withdrawn"`
	} `positional-args:"yes"`
}

// grantResult is the JSON output of key grant.
type grantResult struct {
	Path   string `json:"path"`
	Key    string `json:"key"`
	Offset uint64 `json:"offset"`
}

// Execute implements flags.Commander.
func (c *keyGrant) Execute([]string) error {
	path, err := c.session.keyPath(c.Args.Name)
	if err != nil {
		return err
	}
	account := settings.PathOf(settings.TeamOf(path), settings.KindAccount, c.Args.Account)
	current, err := c.session.currentSection(account)
	if err != nil {
		return err
	}
	if current.Version == 0 {
		return exitErrorf(Usage, "client account %s does not exist; make it with balsam set %s rate=... burst=...", c.Args.Account, account)
	}
	secret := rand.Text() + rand.Text()
	values := map[string]string{"hash": string(bearer.HashOf(secret)), "account": c.Args.Account}
	r, err := c.session.submit(api.Edit{Path: string(path), Values: values}, c.Wait)
	if err != nil {
		return err
	}
	out := grantResult{Path: string(path), Key: secret, Offset: r.Offset}
	return c.session.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "%s\nThis is the only time that the key is shown. Withdraw it with balsam key withdraw %s.\n", secret, c.Args.Name)
	})
}

// keyPath returns the path of the team's key with the name. It fails without --team.
func (s *session) keyPath(name string) (ids.Path, error) {
	if s.Team == "" {
		return "", exitErrorf(Usage, "no team given; name it with --team or BALSAM_TEAM")
	}
	return s.resolvePath("keys/" + name)
}

// keyWithdraw removes a key.
type keyWithdraw struct {
	session *session
	waitOption
	Args struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *keyWithdraw) Execute([]string) error {
	path, err := c.session.keyPath(c.Args.Name)
	if err != nil {
		return err
	}
	r, err := c.session.removeSection(path, c.Wait)
	if err != nil {
		return err
	}
	return c.session.printAccepted(r, "withdrew "+c.Args.Name)
}

// removeSection publishes the removal of the section at the path. It fails if there is
// no such section.
func (s *session) removeSection(path ids.Path, wait bool) (api.Receipt, error) {
	section, err := s.currentSection(path)
	if err != nil {
		return api.Receipt{}, err
	}
	if section.Version == 0 {
		return api.Receipt{}, exitErrorf(Failed, "%s does not exist", path)
	}
	return s.submit(api.Edit{Path: string(path), Base: section.Version, Remove: true}, wait)
}

// keyList lists the keys of the team.
type keyList struct{ session *session }

// Execute implements flags.Commander.
func (c *keyList) Execute([]string) error {
	if c.session.Team == "" {
		return exitErrorf(Usage, "no team given; name it with --team or BALSAM_TEAM")
	}
	list, err := c.session.client.Sections(c.session.ctx, c.session.resolvePrefix("keys"))
	if err != nil {
		return err
	}
	return c.session.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tACCOUNT\tVERSION")
		for _, k := range list {
			fmt.Fprintf(w, "%s\t%s\t%d\n", k.Path[strings.LastIndex(k.Path, "/")+1:], k.Values["account"], k.Version)
		}
	})
}
