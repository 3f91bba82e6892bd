// Almondcove is a fleet capacity and maintenance manager. See the README.
package main

import (
	"os"

	"almondcove/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}
