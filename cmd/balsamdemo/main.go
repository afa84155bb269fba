// Command balsamdemo runs a fleet under load on one machine and checks its guarantees.
package main

import (
	"os"

	"balsamwharf.example/balsamwharf/internal/demo"
)

func main() {
	os.Exit(demo.Main(os.Args[1:], os.Stdout, os.Stderr))
}
