package gateway

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

const (
	// endCheckAfter is how long after a lost connection its target is looked at: a process
	// that ends closes its connections one after the other, and its listener among them.
	endCheckAfter = 20 * time.Millisecond
	// maxLost bounds the requests that are remembered of one target.
	maxLost = 64
	// abandonedFor is how long a request is remembered that a target was still working on when
	// its caller left or its time was over: it may end the target all the same.
	abandonedFor = 3 * time.Second
)

// lostRequest is a request that a target began and whose answer did not come.
type lostRequest struct {
	id          string
	fingerprint quarantine.Fingerprint
	at          time.Time
}

// losses are the requests that targets began and did not answer, by poolKey of the target.
type losses struct {
	mu sync.Mutex
	// lost are those whose connections broke a moment ago, abandoned those that were given up.
	lost, abandoned map[string][]lostRequest
}

func newLosses() *losses {
	return &losses{lost: make(map[string][]lostRequest), abandoned: make(map[string][]lostRequest)}
}

// addLost reports whether the request is the first one of those to look for.
func (l *losses) addLost(key string, r lostRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.lost[key]
	if len(before) < maxLost {
		l.lost[key] = append(before, r)
	}
	return len(before) == 0
}

func (l *losses) addAbandoned(key string, r lostRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := recent(l.abandoned[key], r.at)
	if len(list) < maxLost {
		list = append(list, r)
	}
	l.abandoned[key] = list
}

// takeLost returns the requests whose connections broke.
func (l *losses) takeLost(key string) []lostRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.lost[key]
	delete(l.lost, key)
	return list
}

// takeAbandoned returns the requests that were given up lately.
func (l *losses) takeAbandoned(key string, now time.Time) []lostRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := recent(l.abandoned[key], now)
	delete(l.abandoned, key)
	return list
}

// forget drops what is remembered of targets that are not listed.
func (l *losses) forget(listed map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.abandoned {
		if !listed[key] {
			delete(l.abandoned, key)
		}
	}
}

// recent returns the requests that were given up within abandonedFor.
func recent(list []lostRequest, now time.Time) []lostRequest {
	return slices.DeleteFunc(list, func(r lostRequest) bool { return now.Sub(r.at) > abandonedFor })
}

// fingerprint is what the request is known by when it is repeated.
func (g *Gateway) fingerprint(j *job) quarantine.Fingerprint {
	if j.fingerprint == nil {
		f := quarantine.FingerprintOf(quarantine.Content{
			Method: j.in.Method, Host: j.in.Host, Target: j.in.Target,
			Account:       j.in.Header.Get(g.options.Fields.Account),
			Authorization: j.in.Header.Get("Authorization"),
			Body:          j.in.Body,
		})
		j.fingerprint = &f
	}
	return *j.fingerprint
}

// noteUnanswered remembers a request that a target may have begun and did not answer, and looks
// whether the target has ended.
func (g *Gateway) noteUnanswered(j *job, t try) {
	target := t.decision.Target
	key := poolKey(&target.Target)
	switch {
	case t.answer != nil:
	case t.code == result.ConnectionLost || t.code == result.AnswerTruncated:
		if g.losses.addLost(key, g.lostRequest(j)) {
			go g.lookAt(target, key)
		}
	case t.code == result.DeadlineAfterSend || t.code == result.CallerGone:
		g.losses.addAbandoned(key, g.lostRequest(j))
	case errors.Is(t.err, syscall.ECONNREFUSED):
		g.noteEnd(target, key, nil, t.err)
	}
}

func (g *Gateway) lostRequest(j *job) lostRequest {
	return lostRequest{id: j.id, fingerprint: g.fingerprint(j), at: time.Now()}
}

// lookAt connects to a target that has lost requests, once for all that it lost at the same
// time. One that has ended refuses: a connection that was only reset, or whose answer was lost,
// does not, and a target without power does not answer.
func (g *Gateway) lookAt(t *placing.Target, key string) {
	ctx := context.Background()
	wait.For(ctx, endCheckAfter)
	lost := g.losses.takeLost(key)
	p := g.poolOf(t)
	conn, err := p.Get(ctx)
	if err == nil {
		p.Put(conn)
	}
	g.noteEnd(t, key, lost, err)
}

// noteEnd takes in how a target was found that lost requests: err is that of connecting to it.
// If it has ended without a plan, what it had is counted against the requests.
func (g *Gateway) noteEnd(t *placing.Target, key string, lost []lostRequest, err error) {
	ended := errors.Is(err, syscall.ECONNREFUSED)
	if ended {
		lost = append(lost, g.losses.takeAbandoned(key, time.Now())...)
	}
	if len(lost) == 0 {
		return
	}
	planned := g.options.Balancer.IsLeaving(t)
	g.logEnd(t, lost, err, ended, planned)
	if ended && !planned {
		g.options.Metrics.TargetEnded(t.Service)
		g.blame(key, lost)
	}
}

// blame counts the end of a target against the requests that it had.
func (g *Gateway) blame(key string, lost []lostRequest) {
	if g.options.Quarantine == nil {
		return
	}
	now := time.Now()
	for _, l := range lost {
		// 0 names no target.
		g.options.Quarantine.Ended(now, l.fingerprint, placing.HashOf(key)|1)
	}
}

// logEnd tells what was found at a target that lost requests, and which requests these were.
func (g *Gateway) logEnd(t *placing.Target, lost []lostRequest, err error, ended, planned bool) {
	ids, fingerprints := make([]string, len(lost)), make([]string, len(lost))
	for i, l := range lost {
		ids[i], fingerprints[i] = l.id, l.fingerprint.String()
	}
	log := g.options.Logger.WithFields(logrus.Fields{
		"target": t.ID, "service": t.Service, "ended": ended, "planned": planned, "ids": ids, "fingerprints": fingerprints,
	})
	if err != nil && !errors.Is(err, pool.ErrClosed) {
		log = log.WithError(err)
	}
	log.Info("gateway: requests lost at a target")
}
