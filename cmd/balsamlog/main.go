// Command balsamlog is a stand-in for the platform's log service in trials.
package main

import (
	"os"

	"balsamwharf.example/balsamwharf/internal/balsamlog"
)

func main() {
	os.Exit(balsamlog.Main(os.Args[1:], os.Stdout, os.Stderr))
}
