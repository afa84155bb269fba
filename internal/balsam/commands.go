package balsam

import "github.com/jessevdk/go-flags"

// addCommands registers every command with its short description.
func addCommands(p *flags.Parser, s *session) {
	add(p, "get", "Print sections", &get{session: s})
	add(p, "set", "Change names of a section, or make one", &set{session: s})
	add(p, "remove", "Remove a section", &remove{session: s})
	add(p, "apply", "Publish the sections of an INI file", &apply{session: s})
	add(p, "diff", "Show what apply would change", &diff{session: s})
	add(p, "check", "Check an INI file, or the configuration of a platform, without a daemon", &check{session: s})
	add(p, "history", "List the edits that the log still keeps", &history{session: s})
	add(p, "status", "Show a daemon's view of the fleet", &status{session: s})
	add(p, "accounts", "List client accounts", &accounts{session: s})
	add(p, "targets", "List backend servers and their state", &targets{session: s})
	add(p, "explain", "Tell the way of one request from the logs of daemons", &explainRequest{session: s})
	add(p, "completion", "Print a completion script for bash", &completion{session: s})
	key := add(p, "key", "Grant, withdraw and list keys", &struct{}{})
	addTo(key, "grant", "Make a key and print it once", &keyGrant{session: s})
	addTo(key, "withdraw", "Withdraw a key", &keyWithdraw{session: s})
	addTo(key, "list", "List keys by name", &keyList{session: s})
	cert := add(p, "cert", "Make certificates for a small installation", &struct{}{})
	addTo(cert, "authority", "Make the certificate authority", &certAuthority{session: s})
	addTo(cert, "issue", "Make the certificate of one daemon", &certIssue{session: s})
	report := add(p, "report", "Reports", &struct{}{})
	addTo(report, "burn", "Show how fast services spend their error budgets", &reportBurn{session: s})
}

func add(p *flags.Parser, name, text string, data any) *flags.Command {
	return must(p.AddCommand(name, text, text+".", data))
}

func addTo(c *flags.Command, name, text string, data any) {
	must(c.AddCommand(name, text, text+".", data))
}

// must panics on an error of AddCommand, which only a faulty command type causes.
func must(c *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err)
	}
	return c
}
