package ledger

import (
	"bytes"
	"fmt"
	"strconv"
)

// Count is a 64-bit count. It is written to JSON as a string, because many JSON readers keep only 53 bits of a number.
// Reading accepts strings and numbers.
type Count uint64

// MarshalJSON writes the count as a string of decimal digits.
func (c Count) MarshalJSON() ([]byte, error) {
	b := append(make([]byte, 0, 22), '"')
	return append(strconv.AppendUint(b, uint64(c), 10), '"'), nil
}

// UnmarshalJSON reads decimal digits, with or without quotes.
func (c *Count) UnmarshalJSON(text []byte) error {
	if len(text) > 1 && text[0] == '"' && bytes.HasSuffix(text, []byte{'"'}) {
		text = text[1 : len(text)-1]
	}
	v, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return fmt.Errorf("count %q: %w", text, err)
	}
	*c = Count(v)
	return nil
}
