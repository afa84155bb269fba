// Command balsammesh is the daemon that runs next to a backend server on a platform.
package main

import (
	"os"

	"balsamwharf.example/balsamwharf/internal/meshd"
)

func main() {
	os.Exit(meshd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
