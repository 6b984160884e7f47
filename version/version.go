// Package version reports the version of the build.
package version

import "runtime/debug"

// String returns the module version of the build, or "devel" if the build has none.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return "devel"
	}
	return info.Main.Version
}
