package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"curlewmux/internal/cli"
	"curlewmux/internal/version"

	"github.com/alecthomas/kong"
)

const about = `Takes messages from clients and delivers each to an endpoint of its destination.

A dispatcher is configured by EDGE_CONFIG (a file), EDGE_STATE (the folder that lasts), and, where they are set, EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY. Without a command it runs.`

// line is the command line. Each command's Run hands back what is to be done.
type line struct {
	Version    bool           `help:"Print the version and exit."`
	Run        runCommand     `cmd:"" default:"withargs" help:"Run a dispatcher, until SIGTERM (the default)."`
	Demo       demoCommand    `cmd:"" help:"Show one at work on loopback, with stand-in partners and discovery: about nine seconds, without any environment. Exits 1 if one of the six rules was broken."`
	Check      checkCommand   `cmd:"" help:"Read the configuration and the operator's file, and tell what would be in force and where it is from. Exits 2 naming the setting at fault."`
	Completion cli.Completion `cmd:"" help:"Print a script that completes this command line."`
}

type operatorFile struct {
	Operator string `placeholder:"FILE" help:"The operator's settings of what is off by default (deploy/operator.example.toml shows all)."`
}

type (
	runCommand  struct{ operatorFile }
	demoCommand struct {
		JSON bool `name:"json" help:"The report as one JSON object."`
	}
	checkCommand struct {
		operatorFile
		JSON bool `name:"json" help:"One JSON object."`
	}
)

func (c *runCommand) Run(do *func() int) error {
	settings := c.Operator
	*do = func() int { return start(settings) }
	return nil
}

func (c *demoCommand) Run(do *func() int) error {
	asJSON := c.JSON
	*do = func() int { return showDemo(asJSON) }
	return nil
}

func (c *checkCommand) Run(do *func() int) error {
	settings, asJSON := c.Operator, c.JSON
	*do = func() int { return check(settings, asJSON) }
	return nil
}

// parse reads the command line and returns what is to be done, which gives the exit code.
func parse(args []string) (do func() int) {
	do = func() int { return 0 }
	name := "curlewmux"
	if len(args) > 0 && (args[0] == "demo" || args[0] == "check") {
		name += " " + args[0]
	}
	l := &line{}
	k, err := kong.New(l, kong.Name("curlewmux"), kong.Description(about), kong.Bind(&do))
	if err != nil { // of the model, not of the arguments
		panic(err)
	}
	ctx, err := k.Parse(asEver(args))
	switch {
	case err != nil:
		return func() int { return wrong(name, err) }
	case l.Version:
		return func() int {
			fmt.Println("curlewmux", version.String())
			return 0
		}
	}
	if err := ctx.Run(); err != nil {
		return func() int { return wrong(name, err) }
	}
	return do
}

// wrong tells of a wrong command line in one line.
func wrong(name string, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %s (see --help)\n", name, strings.ReplaceAll(err.Error(), "\n", " "))
	return exitUsage
}

// asEver makes of arguments that package flag took, which read this command line before, such that kong takes: names
// behind one dash, values that begin with a dash, and Go's words for true and false.
func asEver(args []string) []string {
	out := make([]string, 0, len(args))
	for i := 0; i < len(args); i++ {
		name, value, given := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(args[i], "-"), "-"), "=")
		if args[i] == "--" || !strings.HasPrefix(args[i], "-") {
			name = ""
		}
		switch name {
		case "operator":
			if !given && i+1 < len(args) {
				i++
				value, given = args[i], true
			}
		case "json", "version", "help", "h":
			if yes, err := strconv.ParseBool(value); given && err == nil {
				value = strconv.FormatBool(yes)
			}
			if name == "h" {
				name = "help"
			}
		default:
			arg := args[i]
			if len(arg) > 2 && arg[0] == '-' && arg[1] != '-' { // no flag here has one letter but -h
				arg = "-" + arg
			}
			out = append(out, arg)
			continue
		}
		if name = "--" + name; given {
			name += "=" + value
		}
		out = append(out, name)
	}
	return out
}
