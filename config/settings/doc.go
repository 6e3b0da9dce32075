// Package settings reads the INI file that tells one node process who it is,
// where it listens, where the platform's services are and how much memory it
// may use. All faults of a file are reported at once.
package settings
