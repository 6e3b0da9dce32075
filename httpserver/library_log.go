package httpserver

import (
	"strings"
	"sync"

	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"
)

// callerGone begins the library's message about a caller that closed before
// its answer. That is the caller's right and no error of the node.
const callerGone = "Response.Flush:"

// libraryLog writes nbio's log lines to the program's log; the library's own
// go to the standard output.
type libraryLog struct{ log *logrus.Logger }

var _ logging.Logger = libraryLog{}

// Debug implements logging.Logger.
func (l libraryLog) Debug(format string, v ...any) { l.log.Debugf("httpserver: nbio: "+format, v...) }

// Info implements logging.Logger: starts and stops are the program's to tell.
func (l libraryLog) Info(format string, v ...any) { l.log.Debugf("httpserver: nbio: "+format, v...) }

// Warn implements logging.Logger.
func (l libraryLog) Warn(format string, v ...any) { l.log.Warnf("httpserver: nbio: "+format, v...) }

// Error implements logging.Logger.
func (l libraryLog) Error(format string, v ...any) {
	if strings.HasPrefix(format, callerGone) {
		l.Debug(format, v...)
		return
	}
	l.log.Errorf("httpserver: nbio: "+format, v...)
}

var logOnce sync.Once

// UseLog sends nbio's log lines to a logger. The library has one logger for the
// process and reads it without a lock: call UseLog once, before the first
// server starts. Later calls do nothing, nor does one after QuietLibraryLogs.
func UseLog(log *logrus.Logger) {
	logOnce.Do(func() { logging.SetLogger(libraryLog{log: log}) })
}

// QuietLibraryLogs keeps all but errors out of the library's own output, for
// tests and parts that have no logger. It does nothing after UseLog.
func QuietLibraryLogs() {
	logOnce.Do(func() { logging.SetLevel(logging.LevelError) })
}
