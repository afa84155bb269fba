// Command balsamdemo runs the main job on one machine and checks the promises.
package main

import (
	"os"

	"balsamwharf.example/balsamwharf/internal/demo"
)

func main() {
	os.Exit(demo.Main(os.Args[1:], os.Stdout, os.Stderr))
}
