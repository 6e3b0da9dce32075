package httpserver

import (
	"strings"
	"sync"

	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"
)

// clientClosedPrefix starts the message that nbio logs when a client disconnects
// before its response is written. This is not a server error.
const clientClosedPrefix = "Response.Flush:"

// libraryLog redirects nbio's log output, by default standard output, to the
// program's logger.
type libraryLog struct{ log *logrus.Logger }

var _ logging.Logger = libraryLog{}

// Debug implements logging.Logger.
func (l libraryLog) Debug(format string, v ...any) { l.log.Debugf("httpserver: nbio: "+format, v...) }

// Info implements logging.Logger. It logs at debug level because the program
// reports its own starts and stops.
func (l libraryLog) Info(format string, v ...any) { l.log.Debugf("httpserver: nbio: "+format, v...) }

// Warn implements logging.Logger.
func (l libraryLog) Warn(format string, v ...any) { l.log.Warnf("httpserver: nbio: "+format, v...) }

// Error implements logging.Logger.
func (l libraryLog) Error(format string, v ...any) {
	if strings.HasPrefix(format, clientClosedPrefix) {
		l.Debug(format, v...)
		return
	}
	l.log.Errorf("httpserver: nbio: "+format, v...)
}

var logOnce sync.Once

// UseLog sends nbio's log output to log. nbio has one logger per process and reads
// it without synchronization, so call UseLog before the first server starts. Only
// the first call of UseLog or QuietLibraryLogs has an effect.
func UseLog(log *logrus.Logger) {
	logOnce.Do(func() { logging.SetLogger(libraryLog{log: log}) })
}

// QuietLibraryLogs limits nbio's own log output to errors, for tests and packages
// that have no logger. It has no effect after UseLog.
func QuietLibraryLogs() {
	logOnce.Do(func() { logging.SetLevel(logging.LevelError) })
}
