package ledger

import (
	"bytes"
	"fmt"
	"strconv"
)

// CountOpen is a figure. In JSON it is a string, as many readers hold 53 bits only; a number is read, too.
type Count uint64

// MarshalJSON writes it as a string of decimal digits.
func (c Count) MarshalJSON() ([]byte, error) {
	b := append(make([]byte, 0, 22), '"')
	return append(strconv.AppendUint(b, uint64(c), 10), '"'), nil
}

// UnmarshalJSON reads decimal digits, in quotes or not.
func (c *Count) UnmarshalJSON(text []byte) error {
	if len(text) > 1 && text[0] == '"' && bytes.HasSuffix(text, []byte{'"'}) {
		text = text[1 : len(text)-1]
	}
	v, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return fmt.Errorf("figure %q: %w", text, err)
	}
	*c = Count(v)
	return nil
}
