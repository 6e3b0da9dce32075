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
	"github.com/yuccaroute/yuccaroute/api/responsehead"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/wire"
	"github.com/yuccaroute/yuccaroute/store"
)

// DefaultTimeout bounds one request.
const DefaultTimeout = 3 * time.Second

// maxResponseBytes bounds the memory for one response.
const maxResponseBytes = 32 << 20

// Options configures a Lister.
type Options struct {
	// Address is host:port of the platform.
	Address string
	// Path is the URL path of the list; empty means wire.DefaultPath.
	Path    string
	Timeout time.Duration
}

// Lister implements membership.Lister. It is safe for concurrent use.
type Lister struct {
	url     string
	timeout time.Duration
	http    *http.Client

	mu      sync.Mutex
	last    membership.List
	hasList bool
}

var _ membership.Lister = (*Lister)(nil)

// New returns a lister without sending a request.
func New(options Options) *Lister {
	if options.Path == "" {
		options.Path = wire.DefaultPath
	}
	option.Default(&options.Timeout, DefaultTimeout)
	return &Lister{
		url:     "http://" + options.Address + options.Path,
		timeout: options.Timeout,
		http:    &http.Client{Transport: responsehead.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1})},
	}
}

// Close closes the idle connections.
func (l *Lister) Close() {
	l.http.CloseIdleConnections()
}

// List implements membership.Lister. The platform sends the rows only when they
// changed since the last request. The rows are shared between calls and must not
// be modified.
func (l *Lister) List(ctx context.Context) (membership.List, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	last, hasList := l.lastList()
	url := l.url
	if hasList {
		url += "?" + wire.QueryKnown + "=" + strconv.FormatUint(last.Sequence, 10)
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
		return last, nil
	case http.StatusOK:
		return l.decode(response.Body)
	default:
		return membership.List{}, unavailable(errors.New(response.Status))
	}
}

func (l *Lister) lastList() (membership.List, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last, l.hasList
}

func (l *Lister) decode(body io.Reader) (membership.List, error) {
	var response wire.ListResponse
	err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&response)
	if err != nil {
		return membership.List{}, unavailable(err)
	}
	// Any JSON object decodes into a response. One without the field must not
	// count as an empty list, which would remove every VM.
	if response.VMs == nil {
		return membership.List{}, unavailable(errors.New("response without the list of VMs"))
	}
	list := membership.List{Sequence: response.Sequence, VMs: convert(response.VMs)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last, l.hasList = list, true
	return list, nil
}

// convert skips invalid rows, so that one does not hide all other VMs.
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
