package tlsfiles

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// DefaultInterval is the shortest time between two readings of the files.
const DefaultInterval = 10 * time.Second

// Keeper holds the newest keys that could be read. It looks at the files when
// a connection is set up, at most once in an interval, and in each while Watch
// runs.
//
// Files are not replaced all at one moment, so a reading can catch a new
// certificate with an old key. Such a pair does not load; the keeper then goes
// on with the last good keys and looks again.
type Keeper struct {
	files    Files
	interval time.Duration
	now      func() time.Time
	logger   logrus.FieldLogger

	current atomic.Pointer[keys]
	open    openPeers

	mu     sync.Mutex
	looked time.Time
	last   contents
}

// New reads the files. interval 0 takes the default, now nil the system's
// clock, logger nil the standard one.
func New(files Files, interval time.Duration, now func() time.Time, logger logrus.FieldLogger) (*Keeper, error) {
	if interval <= 0 {
		interval = DefaultInterval
	}
	if now == nil {
		now = time.Now
	}
	if logger == nil {
		logger = logrus.StandardLogger()
	}
	k := &Keeper{files: files, interval: interval, now: now, logger: logger, looked: now()}
	read, err := files.read()
	if err != nil {
		return nil, err
	}
	first, err := read.keys()
	if err != nil {
		return nil, err
	}
	k.last = read
	k.current.Store(first)
	return k, nil
}

// keys returns the keys to use for a connection that is set up now.
func (k *Keeper) keys() *keys {
	// Who finds the files being looked at goes on with the keys there are: a
	// slow file system must not hold up every connection.
	if k.mu.TryLock() {
		k.look()
		k.mu.Unlock()
	}
	return k.current.Load()
}

func (k *Keeper) look() {
	now := k.now()
	if now.Sub(k.looked) < k.interval {
		return
	}
	k.looked = now
	read, err := k.files.read()
	if err != nil {
		k.logger.Errorf("tls: %v; the keys in use stay", err)
		return
	}
	if read == k.last {
		return
	}
	fresh, err := read.keys()
	if err != nil {
		k.logger.Errorf("tls: %v; the keys in use stay", err)
		return
	}
	k.last = read
	k.current.Store(fresh)
	k.logger.Info("tls: keys read again")
	k.closeStrangers()
}
