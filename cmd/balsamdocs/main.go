// Command balsamdocs generates the reference pages in docs from the code.
package main

import (
	"os"

	"balsamwharf.example/balsamwharf/internal/docs"
)

func main() {
	os.Exit(docs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
