package entry

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// snapshotPath is where other VMs read this VM's copy of the store.
	snapshotPath = "/snapshot"
	// snapshotTimeout bounds reading a copy.
	snapshotTimeout = 2 * time.Second
	// snapshotIdle is how long a connection for snapshots is kept; it is shorter than other
	// VMs keep theirs.
	snapshotIdle = 5 * time.Second
	// compressFrom is the length from which on a copy is compressed. Shorter ones are
	// what changed lately, and a compressor takes more memory than they have.
	compressFrom = 4 << 10
	// maxSnapshotBytes bounds a copy: 330,000 targets of 200 bytes each.
	maxSnapshotBytes = 64 << 20
	// gzipEncoding is the encoding of compressed snapshots.
	gzipEncoding = "gzip"
)

// snapshots gives this VM's replica of the store to other VMs. It is safe for use by several
// goroutines.
//
// Guard against VMs that all start at once and ask the same one for all items: it shows as
// a VM that runs out of memory and of its link. The guard holds because a whole copy is
// rendered once for each revision, and is compressed.
type snapshots struct {
	replica *replica.Replica
	log     *logrus.Entry

	mu sync.Mutex
	// whole is the copy of all items at a revision.
	whole rendered
	at    store.Revision
}

// rendered is a copy as it is sent.
type rendered struct {
	text       []byte
	compressed bool
}

// answer is what changed after a revision, or all items if that is not remembered.
func (c *snapshots) answer(after store.Revision) *serve.Response {
	r, err := c.render(after)
	if err != nil {
		c.log.WithError(err).Error("replica: copy for a peer not rendered")
		return serve.PlainText(http.StatusInternalServerError, err.Error())
	}
	a := &serve.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/msgpack"}}, Body: r.text}
	if r.compressed {
		a.Header.Set("Content-Encoding", gzipEncoding)
	}
	return a
}

func (c *snapshots) render(after store.Revision) (rendered, error) {
	if c.replica.Remembers(after) {
		return render(c.replica.SnapshotAfter(after))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, _ := c.replica.At(); at == c.at && c.whole.text != nil {
		return c.whole, nil
	}
	whole := c.replica.SnapshotAfter(0)
	r, err := render(whole)
	if err == nil {
		c.whole, c.at = r, whole.At
	}
	return r, err
}

func render(c replica.Snapshot) (rendered, error) {
	text, err := msgpack.Marshal(&c)
	if err != nil || len(text) < compressFrom {
		return rendered{text: text}, errors.Wrap(err, "entry: copy")
	}
	var short bytes.Buffer
	w, err := gzip.NewWriterLevel(&short, gzip.BestSpeed)
	if err != nil {
		return rendered{}, errors.Wrap(err, "entry: copy")
	}
	if _, err := w.Write(text); err != nil {
		return rendered{}, errors.Wrap(err, "entry: copy")
	}
	if err := w.Close(); err != nil {
		return rendered{}, errors.Wrap(err, "entry: copy")
	}
	return rendered{text: short.Bytes(), compressed: true}, nil
}

// read decodes a copy.
func (r rendered) read() (replica.Snapshot, error) {
	var c replica.Snapshot
	var from io.Reader = bytes.NewReader(r.text)
	if r.compressed {
		unzip, err := gzip.NewReader(from)
		if err != nil {
			return c, errors.Wrap(err, "entry: copy")
		}
		from = io.LimitReader(unzip, maxSnapshotBytes)
	}
	return c, errors.Wrap(msgpack.NewDecoder(from).Decode(&c), "entry: copy")
}

var snapshotClient = &http.Client{Timeout: snapshotTimeout, Transport: &http.Transport{IdleConnTimeout: snapshotIdle, DisableCompression: true}}

// fetchSnapshot reads what another VM's copy of the store has after a revision.
func fetchSnapshot(ctx context.Context, peer string, after store.Revision) (replica.Snapshot, error) {
	target := "http://" + peer + snapshotPath + "?after=" + strconv.FormatUint(uint64(after), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return replica.Snapshot{}, errors.Wrap(err, "entry: copy")
	}
	resp, err := snapshotClient.Do(req)
	if err != nil {
		return replica.Snapshot{}, errors.Wrap(err, "entry: copy")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return replica.Snapshot{}, errors.Errorf("entry: copy: status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshotBytes))
	if err != nil {
		return replica.Snapshot{}, errors.Wrap(err, "entry: copy")
	}
	return rendered{text: text, compressed: resp.Header.Get("Content-Encoding") == gzipEncoding}.read()
}
