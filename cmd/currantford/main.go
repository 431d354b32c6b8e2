// Command currantford is the one binary of the rollout service: entry
// instances, the settings checker, the stand-ins and the load tool. Run
// "currantford --help" for the commands.
package main

import (
	"os"

	"currantford/older/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:]))
}
