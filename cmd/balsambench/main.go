// Command balsambench measures the slopes that docs/CAPACITY.md is worked out from.
package main

import (
	"os"

	"balsamwharf.example/balsamwharf/internal/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
