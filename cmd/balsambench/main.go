// Command balsambench measures the cost slopes that docs/CAPACITY.md is calculated from.
package main

import (
	"os"

	"balsamwharf.example/balsamwharf/internal/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
