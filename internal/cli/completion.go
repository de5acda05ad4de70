// Package cli is what the command lines of the programs have in common beside kong: completion for shells.
package cli

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// Completion is the command that prints a script for a shell; it needs the program's model, which kong binds.
type Completion struct {
	Shell string `arg:"" enum:"bash,zsh" help:"The shell: bash or zsh. The script goes where the shell reads such at its start."`
}

// Run prints the script.
func (c *Completion) Run(app *kong.Kong) error { return Write(os.Stdout, app.Model, c.Shell) }

// Write writes a script that completes commands, flags and the values that a flag or argument may have, and files where
// nothing else fits. zsh runs the script by its emulation of bash's completion.
func Write(w io.Writer, app *kong.Application, shell string) error {
	var b strings.Builder
	if shell == "zsh" {
		b.WriteString("autoload -U +X compinit && compinit\nautoload -U +X bashcompinit && bashcompinit\n")
	}
	function := "_" + strings.ReplaceAll(app.Name, "-", "_")
	var commands, offers, values strings.Builder
	walk(app.Node, app.Name, nil, func(path string, n *kong.Node, flags []*kong.Flag) {
		if n != app.Node {
			fmt.Fprintf(&commands, "      %q) path=\"$path $word\" ;;\n", path)
		}
		fmt.Fprintf(&offers, "    %q) words=%q ;;\n", path, strings.Join(words(n, flags), " "))
		for _, f := range flags {
			if !f.IsBool() && f.Enum != "" {
				fmt.Fprintf(&values, "    %q) words=%q ;;\n", path+" --"+f.Name, strings.Join(enum(f.Value), " "))
			}
		}
	})
	fmt.Fprintf(&b, `%s() {
  local cur="${COMP_WORDS[COMP_CWORD]}" path=%q words="" word i
  COMPREPLY=()
  for ((i = 1; i < COMP_CWORD; i++)); do
    word="${COMP_WORDS[i]}"
    case "$path $word" in
%s    esac
  done
  case "$path" in
%s  esac
  case "$path ${COMP_WORDS[COMP_CWORD-1]}" in
%s    *) ;;
  esac
  COMPREPLY=($(compgen -W "$words" -- "$cur"))
}
complete -o default -F %s %s
`, function, app.Name, commands.String(), offers.String(), values.String(), function, app.Name)
	_, err := io.WriteString(w, b.String())
	return err
}

// walk visits all commands that are shown, each with the flags that may stand behind it.
func walk(n *kong.Node, path string, above []*kong.Flag, visit func(path string, n *kong.Node, flags []*kong.Flag)) {
	flags := slices.Concat(above, n.Flags)
	visit(path, n, flags)
	for _, c := range n.Children {
		if c.Type == kong.CommandNode && !c.Hidden {
			walk(c, path+" "+c.Name, flags, visit)
		}
	}
}

func words(n *kong.Node, flags []*kong.Flag) (out []string) {
	if n.DefaultCmd != nil {
		flags = slices.Concat(flags, n.DefaultCmd.Flags)
	}
	for _, c := range n.Children {
		if c.Type == kong.CommandNode && !c.Hidden {
			out = append(out, c.Name)
		}
	}
	for _, p := range n.Positional {
		out = append(out, enum(p)...)
	}
	for _, f := range flags {
		if !f.Hidden {
			out = append(out, "--"+f.Name)
		}
	}
	return out
}

func enum(v *kong.Value) (out []string) {
	if v.Enum == "" {
		return nil
	}
	for s := range strings.SplitSeq(v.Enum, ",") {
		if s = strings.TrimSpace(s); s != "" {
			out = append(out, s)
		}
	}
	return out
}
