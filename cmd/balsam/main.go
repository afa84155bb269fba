// Command balsam is the operators' command-line client.
package main

import (
	"os"

	"balsamwharf.example/balsamwharf/internal/balsam"
)

func main() {
	os.Exit(balsam.Main(os.Args[1:], os.Stdout, os.Stderr))
}
