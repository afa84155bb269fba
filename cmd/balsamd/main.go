// Command balsamd is the daemon that runs on every backend server VM.
package main

import (
	"os"

	"balsamwharf.example/balsamwharf/internal/balsamd"
)

func main() {
	os.Exit(balsamd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
