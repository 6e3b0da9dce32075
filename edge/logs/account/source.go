package account

import (
	"bufio"
	"container/heap"
	"io"

	"github.com/pkg/errors"
)

// maxLine limits the length of a line in bytes. Longer lines are skipped and counted.
const maxLine = 64 << 10

// Source is the log of one VM, or of several collected in one file.
type Source struct {
	// Name is the VM of lines that do not name one.
	Name   string
	Reader io.Reader
}

// stream reads one source and holds its next line.
type stream struct {
	name   string
	reader *bufio.Reader
	next   entry
	bad    *int
}

// advance reads the next relevant line; it returns false at the end.
func (s *stream) advance() (bool, error) {
	for {
		text, err := s.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			*s.bad++
			err = s.skipLine()
			text = nil
		}
		if len(text) > 0 {
			e, skip, ok := parse(text)
			switch {
			case !ok:
				*s.bad++
			case !skip:
				if e.vm == "" {
					e.vm = s.name
				}
				s.next = e
				return true, nil
			}
		}
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		if err != nil {
			return false, errors.Wrapf(err, "account: %s", s.name)
		}
	}
}

// skipLine reads to the end of an overlong line.
func (s *stream) skipLine() error {
	for {
		_, err := s.reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// streams is a heap of sources ordered by the time of their next line.
type streams []*stream

func (h streams) Len() int           { return len(h) }
func (h streams) Less(i, j int) bool { return h[i].next.at < h[j].next.at }
func (h streams) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *streams) Push(x any)        { *h = append(*h, x.(*stream)) }
func (h *streams) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// merge calls visit with the lines of all sources in order of time, holding one line of
// each source. It returns the number of unreadable lines.
func merge(sources []Source, visit func(entry)) (bad int, err error) {
	var h streams
	for _, source := range sources {
		s := &stream{name: source.Name, reader: bufio.NewReaderSize(source.Reader, maxLine), bad: &bad}
		more, err := s.advance()
		if err != nil {
			return bad, err
		}
		if more {
			h = append(h, s)
		}
	}
	heap.Init(&h)
	for len(h) > 0 {
		s := h[0]
		visit(s.next)
		more, err := s.advance()
		if err != nil {
			return bad, err
		}
		if more {
			heap.Fix(&h, 0)
		} else {
			heap.Pop(&h)
		}
	}
	return bad, nil
}
