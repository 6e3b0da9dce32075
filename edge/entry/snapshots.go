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

	"github.com/yuccaroute/yuccaroute/api/responsehead"
	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// snapshotPath serves this VM's replica to other VMs.
	snapshotPath    = "/snapshot"
	snapshotTimeout = 2 * time.Second
	// snapshotIdle is the client's idle timeout; it is shorter than the server's.
	snapshotIdle = 5 * time.Second
	// compressThreshold is the size from which snapshots are compressed. For smaller
	// ones the compressor needs more memory than it saves.
	compressThreshold = 4 << 10
	// maxSnapshotBytes limits the size of a decoded snapshot: 330,000 targets of 200 bytes.
	maxSnapshotBytes = 64 << 20
	gzipEncoding     = "gzip"
)

// snapshots serves this VM's replica of the store to other VMs. A full snapshot is
// encoded once per revision, so that many VMs starting at once do not exhaust memory
// and bandwidth. It is safe for concurrent use.
type snapshots struct {
	replica *replica.Replica
	log     *logrus.Entry

	mu sync.Mutex
	// full is the encoded full snapshot at revision at, with what is retained from before the store was
	// restored.
	full     encodedSnapshot
	at       store.Revision
	retained replica.Span
}

// encodedSnapshot is a snapshot as sent on the wire.
type encodedSnapshot struct {
	data       []byte
	compressed bool
}

// respond returns the changes after a revision, or a full snapshot if they are not retained.
func (c *snapshots) respond(after store.Revision) *serve.Response {
	r, err := c.encode(after)
	if err != nil {
		c.log.WithError(err).Error("replica: failed to encode snapshot for a peer")
		return serve.PlainText(http.StatusInternalServerError, err.Error())
	}
	a := &serve.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/msgpack"}}, Body: r.data}
	if r.compressed {
		a.Header.Set("Content-Encoding", gzipEncoding)
	}
	return a
}

func (c *snapshots) encode(after store.Revision) (encodedSnapshot, error) {
	if c.replica.HasChangesAfter(after) {
		return encodeSnapshot(c.replica.SnapshotAfter(after))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	retained := c.replica.Retained()
	if at, _ := c.replica.Revision(); at == c.at && retained == c.retained && c.full.data != nil {
		return c.full, nil
	}
	snapshot := c.replica.SnapshotAfter(0)
	r, err := encodeSnapshot(snapshot)
	if err == nil {
		c.full, c.at, c.retained = r, snapshot.At, snapshot.Retained
	}
	return r, err
}

func encodeSnapshot(c replica.Snapshot) (encodedSnapshot, error) {
	data, err := msgpack.Marshal(&c)
	if err != nil || len(data) < compressThreshold {
		return encodedSnapshot{data: data}, errors.Wrap(err, "entry: encode snapshot")
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return encodedSnapshot{}, errors.Wrap(err, "entry: encode snapshot")
	}
	if _, err := w.Write(data); err != nil {
		return encodedSnapshot{}, errors.Wrap(err, "entry: encode snapshot")
	}
	if err := w.Close(); err != nil {
		return encodedSnapshot{}, errors.Wrap(err, "entry: encode snapshot")
	}
	return encodedSnapshot{data: compressed.Bytes(), compressed: true}, nil
}

func (r encodedSnapshot) decode() (replica.Snapshot, error) {
	var c replica.Snapshot
	var from io.Reader = bytes.NewReader(r.data)
	if r.compressed {
		gz, err := gzip.NewReader(from)
		if err != nil {
			return c, errors.Wrap(err, "entry: decode snapshot")
		}
		from = io.LimitReader(gz, maxSnapshotBytes)
	}
	return c, errors.Wrap(msgpack.NewDecoder(from).Decode(&c), "entry: decode snapshot")
}

var snapshotClient = &http.Client{
	Timeout:   snapshotTimeout,
	Transport: responsehead.NewTransport(&http.Transport{IdleConnTimeout: snapshotIdle, DisableCompression: true}),
}

// fetchSnapshot requests the changes after a revision from another VM.
func fetchSnapshot(ctx context.Context, peer string, after store.Revision) (replica.Snapshot, error) {
	target := "http://" + peer + snapshotPath + "?after=" + strconv.FormatUint(uint64(after), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return replica.Snapshot{}, errors.Wrap(err, "entry: fetch snapshot")
	}
	resp, err := snapshotClient.Do(req)
	if err != nil {
		return replica.Snapshot{}, errors.Wrap(err, "entry: fetch snapshot")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return replica.Snapshot{}, errors.Errorf("entry: fetch snapshot: status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshotBytes))
	if err != nil {
		return replica.Snapshot{}, errors.Wrap(err, "entry: fetch snapshot")
	}
	return encodedSnapshot{data: data, compressed: resp.Header.Get("Content-Encoding") == gzipEncoding}.decode()
}
