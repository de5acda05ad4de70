// Package version tells which build of the project a program is.
package version

import (
	"runtime/debug"
	"strings"
)

// String is the module's version, the revision that it was built from as far as the tool chain stamped it, and the tool
// chain.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	parts := []string{info.Main.Version}
	if info.Main.Version == "" {
		parts[0] = "(devel)"
	}
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			parts = append(parts, s.Value)
		case s.Key == "vcs.modified" && s.Value == "true":
			parts = append(parts, "modified")
		}
	}
	return strings.Join(append(parts, info.GoVersion), " ")
}
