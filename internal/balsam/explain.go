package balsam

import (
	"fmt"
	"io"
	"os"

	"balsamwharf.example/balsamwharf/internal/explain"
)

// explainRequest prints the steps of one request from the log files of daemons. It
// contacts no daemon.
type explainRequest struct {
	session *session
	Args    struct {
		ID    string   `positional-arg-name:"ID" description:"Id of the request"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"Logs of daemons"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainRequest) Execute([]string) error {
	var logs []io.Reader
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return exitErrorf(Usage, "%v", err)
		}
		defer file.Close()
		logs = append(logs, file)
	}
	steps, err := explain.Steps(c.Args.ID, logs)
	if err != nil {
		return exitErrorf(Failed, "%v", err)
	}
	if len(steps) == 0 {
		return exitErrorf(Failed, "no log line has request id %q; add the log of the daemon that received the request from its caller", c.Args.ID)
	}
	return c.session.print(steps, func(w io.Writer) {
		for _, step := range steps {
			fmt.Fprintln(w, step)
		}
	})
}
