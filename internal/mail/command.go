package mail

import (
	"fmt"
	"strings"
)

// Command is one line from a client: its verb in capitals, and the rest.
type Command struct{ Verb, Arg string }

// ParseCommand reads a line without its end. A line without a verb, or with a control character in it, is out of form:
// then ok is false.
func ParseCommand(line string) (c Command, ok bool) {
	for i := range len(line) {
		if line[i] < ' ' || line[i] == 0x7f {
			return c, false
		}
	}
	verb, arg, _ := strings.Cut(line, " ")
	if verb == "" {
		return c, false
	}
	for i := range len(verb) {
		if !isAlnum(verb[i]) {
			return c, false
		}
	}
	return Command{strings.ToUpper(verb), strings.Trim(arg, " ")}, true
}

// Path reads the argument of MAIL ("FROM:") or RCPT ("TO:").
func (c *Command) Path(word string) (Path, error) {
	if len(c.Arg) < len(word) || !strings.EqualFold(c.Arg[:len(word)], word) {
		return Path{}, fmt.Errorf("%w: want %s<address>", ErrPath, word)
	}
	return ParsePath(c.Arg[len(word):])
}
