// Command currantford-node is the program of the deployed processes. Run "currantford-node --help"
// for its commands.
package main

import (
	"os"

	"currantford/nodecommands"
)

func main() {
	os.Exit(nodecommands.Execute(os.Args[1:]))
}
