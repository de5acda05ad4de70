// Package operator reads the operator's file: the settings of what is off by default (deploy/operator.example.toml shows
// all). It knows settings only, and links nothing that they are for.
package operator

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/BurntSushi/toml"
)

// File is the whole file. Each section stands in a file of its own in this package, with its check.
type File struct {
	Journal    *Journal    `toml:"journal"`    // nil: as without a file
	Membership *Membership `toml:"membership"` // nil: off
	Kubernetes *Kubernetes `toml:"kubernetes"` // nil: off
	Fixed      []Fixed     `toml:"fixed"`
	Mail       *Mail       `toml:"mail"`  // nil: off
	Fleet      *Fleet      `toml:"fleet"` // nil: as the site's settings have it

	Undelivered *Undelivered `toml:"undelivered"` // nil: off
	Ledger      *Ledger      `toml:"ledger"`      // nil: off
	Log         *Log         `toml:"log"`         // nil: text, from info on
}

// ErrSettings is in the chain of every error about the file.
var ErrSettings = errors.New("operator's file")

const mostBytes = 4 << 20

// Read reads and checks a file. Its error wraps ErrSettings and names the setting.
func Read(path string) (*File, error) {
	f, _, err := ReadText(path)
	return f, err
}

// ReadText is Read, and returns the file's text as well.
func ReadText(path string) (*File, string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, "", fmt.Errorf("%w: %w", ErrSettings, err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostBytes+1))
	if err == nil && len(text) > mostBytes {
		err = fmt.Errorf("over %d bytes", mostBytes)
	}
	if err != nil {
		return nil, "", fmt.Errorf("%w: %s: %w", ErrSettings, path, err)
	}
	out, err := Parse(string(text))
	if err != nil {
		return nil, "", fmt.Errorf("%w: %s: %w", ErrSettings, path, err)
	}
	return out, string(text), nil
}

// Parse reads and checks the text of a file. Its error names the setting.
func Parse(text string) (*File, error) {
	f := &File{}
	md, err := toml.Decode(text, f)
	if err != nil {
		return nil, err // it names line and key
	}
	if unknown := md.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: there is no such setting", unknown[0])
	}
	for _, check := range []func() error{f.checkJournal, f.checkMembership, f.Mail.check, f.Undelivered.check, f.checkFleet, f.checkLedger, f.Log.check} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return f, nil
}
