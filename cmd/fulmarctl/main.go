// Command fulmarctl is the command line client for operators.
package main

import (
	"os"

	"github.com/fulmardrum/fulmardrum/internal/fulmarctl"
)

func main() { os.Exit(fulmarctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
