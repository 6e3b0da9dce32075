// Package httplist reads the platform's VM list over HTTP.
package httplist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/option"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/wire"
	"github.com/yuccaroute/yuccaroute/store"
)

// DefaultTimeout bounds one reading.
const DefaultTimeout = 3 * time.Second

// maxAnswerBytes bounds a list: about 100000 rows.
const maxAnswerBytes = 32 << 20

// Options describes where the list is.
type Options struct {
	// Address is host:port of the platform.
	Address string
	// Path answers the list; empty means wire.DefaultPath.
	Path    string
	Timeout time.Duration
}

// Lister implements membership.Lister. It is safe for use by several
// goroutines.
type Lister struct {
	url     string
	timeout time.Duration
	http    *http.Client

	mu   sync.Mutex
	last membership.List
	read bool
}

var _ membership.Lister = (*Lister)(nil)

// New returns a lister; it does not call the platform.
func New(options Options) *Lister {
	if options.Path == "" {
		options.Path = wire.DefaultPath
	}
	option.Default(&options.Timeout, DefaultTimeout)
	return &Lister{
		url:     "http://" + options.Address + options.Path,
		timeout: options.Timeout,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// Close ends the idle connections.
func (l *Lister) Close() {
	l.http.CloseIdleConnections()
}

// List implements membership.Lister. The platform sends the rows only when
// they changed since the last reading. The rows returned are shared: callers
// must not change them.
func (l *Lister) List(ctx context.Context) (membership.List, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	known, read := l.known()
	url := l.url
	if read {
		url += "?" + wire.QueryKnown + "=" + strconv.FormatUint(known.Sequence, 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return membership.List{}, unavailable(err)
	}
	response, err := l.http.Do(request)
	if err != nil {
		return membership.List{}, unavailable(err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNotModified:
		return known, nil
	case http.StatusOK:
		return l.decode(response.Body)
	default:
		return membership.List{}, unavailable(errors.New(response.Status))
	}
}

func (l *Lister) known() (membership.List, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last, l.read
}

func (l *Lister) decode(body io.Reader) (membership.List, error) {
	var answer wire.ListResponse
	err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&answer)
	if err != nil {
		return membership.List{}, unavailable(err)
	}
	// Any JSON object decodes into an answer. One without rows is no list of
	// the platform; taken for one, it would end every VM.
	if answer.VMs == nil {
		return membership.List{}, unavailable(errors.New("answer without the list of VMs"))
	}
	list := membership.List{Sequence: answer.Sequence, VMs: convert(answer.VMs)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last, l.read = list, true
	return list, nil
}

// convert leaves out rows that can't be read: one bad row must not hide all
// other VMs.
func convert(messages []wire.VM) []membership.VM {
	vms := make([]membership.VM, 0, len(messages))
	for _, message := range messages {
		vm, err := message.VM()
		if err != nil {
			logrus.WithError(err).Warn("membership: row left out")
			continue
		}
		vms = append(vms, vm)
	}
	return membership.Normalize(vms)
}

func unavailable(cause error) error {
	return errors.WithMessage(store.ErrUnavailable, cause.Error())
}
