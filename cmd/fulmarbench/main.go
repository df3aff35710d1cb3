// Command fulmarbench runs stand-ins of the platform and the workers, puts load
// on members, and shows a demonstration of the whole path.
package main

import (
	"os"

	"github.com/fulmardrum/fulmardrum/internal/fulmarbench"
)

func main() { os.Exit(fulmarbench.Main(os.Args[1:], os.Stdout, os.Stderr)) }
