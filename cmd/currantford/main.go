// Command currantford is the program of the rollout service under older/: entry instances, the
// settings check, the stand-ins, and the tools for load and trials. Run "currantford --help" for
// its commands.
package main

import (
	"os"

	"currantford/older/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:]))
}
