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

// keyGrant makes a key for a client account. Only its hash is published.
type keyGrant struct {
	shell *shell
	waiting
	Args struct {
		Account string `positional-arg-name:"ACCOUNT" required:"yes" description:"Client account of the team"`
		Name    string `positional-arg-name:"NAME" required:"yes" description:"Name by which the key is withdrawn"`
	} `positional-args:"yes"`
}

// granted is the JSON output of a grant.
type granted struct {
	Path   string `json:"path"`
	Key    string `json:"key"`
	Offset uint64 `json:"offset"`
}

// Execute implements flags.Commander.
func (c *keyGrant) Execute([]string) error {
	path, err := c.shell.keyPath(c.Args.Name)
	if err != nil {
		return err
	}
	account := settings.PathOf(settings.TeamOf(path), settings.KindAccount, c.Args.Account)
	present, err := c.shell.present(account)
	if err != nil {
		return err
	}
	if present.Version == 0 {
		return fail(Usage, "client account %s does not exist; make it with balsam set %s rate=... burst=...", c.Args.Account, account)
	}
	secret := rand.Text() + rand.Text()
	values := map[string]string{"hash": string(bearer.HashOf(secret)), "account": c.Args.Account}
	r, err := c.shell.submit(api.Edit{Path: string(path), Values: values}, c.Wait)
	if err != nil {
		return err
	}
	out := granted{Path: string(path), Key: secret, Offset: r.Offset}
	return c.shell.print(out, func(w io.Writer) {
		fmt.Fprintf(w, "%s\nThis is the only time that the key is shown. Withdraw it with balsam key withdraw %s.\n", secret, c.Args.Name)
	})
}

// keyPath returns the path of a key of the team.
func (s *shell) keyPath(name string) (ids.Path, error) {
	if s.Team == "" {
		return "", fail(Usage, "name the team with --team")
	}
	return s.path("keys/" + name)
}

// keyWithdraw removes a key.
type keyWithdraw struct {
	shell *shell
	waiting
	Args struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *keyWithdraw) Execute([]string) error {
	path, err := c.shell.keyPath(c.Args.Name)
	if err != nil {
		return err
	}
	r, err := c.shell.remove(path, c.Wait)
	if err != nil {
		return err
	}
	return c.shell.done(r, "withdrew "+c.Args.Name)
}

// remove removes the section at the path.
func (s *shell) remove(path ids.Path, wait bool) (api.Receipt, error) {
	section, err := s.present(path)
	if err != nil {
		return api.Receipt{}, err
	}
	if section.Version == 0 {
		return api.Receipt{}, fail(Failed, "%s does not exist", path)
	}
	return s.submit(api.Edit{Path: string(path), Base: section.Version, Remove: true}, wait)
}

// keyList lists the keys of the team.
type keyList struct{ shell *shell }

// Execute implements flags.Commander.
func (c *keyList) Execute([]string) error {
	if c.shell.Team == "" {
		return fail(Usage, "name the team with --team")
	}
	list, err := c.shell.client.Sections(c.shell.ctx, c.shell.prefix("keys"))
	if err != nil {
		return err
	}
	return c.shell.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tACCOUNT\tVERSION")
		for _, k := range list {
			fmt.Fprintf(w, "%s\t%s\t%d\n", k.Path[strings.LastIndex(k.Path, "/")+1:], k.Values["account"], k.Version)
		}
	})
}
