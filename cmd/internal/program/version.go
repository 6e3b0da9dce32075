package program

import "runtime/debug"

// Version names the build: the release set at link time, else the revision
// that the toolchain recorded, else "development".
func Version() string {
	if release != "" {
		return release
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "development"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return "development"
}

// release is set by -ldflags "-X .../program.release=v1.2.3".
var release string
