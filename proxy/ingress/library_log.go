package ingress

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
func (l libraryLog) Debug(format string, v ...any) { l.log.Debugf("ingress: nbio: "+format, v...) }

// Info implements logging.Logger: starts and stops are the program's to tell.
func (l libraryLog) Info(format string, v ...any) { l.log.Debugf("ingress: nbio: "+format, v...) }

// Warn implements logging.Logger.
func (l libraryLog) Warn(format string, v ...any) { l.log.Warnf("ingress: nbio: "+format, v...) }

// Error implements logging.Logger.
func (l libraryLog) Error(format string, v ...any) {
	if strings.HasPrefix(format, callerGone) {
		l.Debug(format, v...)
		return
	}
	l.log.Errorf("ingress: nbio: "+format, v...)
}

var logOnce sync.Once

// takeLibraryLog sends nbio's log, which is one for the process, to the first
// logger given.
func takeLibraryLog(log *logrus.Logger) {
	logOnce.Do(func() { logging.SetLogger(libraryLog{log: log}) })
}
