// Command fulmarbench runs a simulated platform and simulated workers, generates load for
// members, and runs an end-to-end demonstration.
package main

import (
	"os"

	"github.com/fulmardrum/fulmardrum/internal/fulmarbench"
)

func main() { os.Exit(fulmarbench.Main(os.Args[1:], os.Stdout, os.Stderr)) }
