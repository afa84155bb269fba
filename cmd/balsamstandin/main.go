// Command balsamstandin is a stand-in for a backend server in trials.
package main

import (
	"os"

	"balsamwharf.example/balsamwharf/internal/balsamstandin"
)

func main() {
	os.Exit(balsamstandin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
