package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"
)

// Each upload is sent evenly over uploadTime in uploadSteps.
const (
	uploadTime  = 200 * time.Millisecond
	uploadSteps = 50
)

// BenchmarkUpload uploads bodies at a bounded rate, directly and through the
// proxy and its server. It reports the median time from the last byte to the
// answer.
func BenchmarkUpload(b *testing.B) {
	for _, length := range []int{64 << 10, 1 << 20, maxBenchBytes} {
		for _, way := range []string{"direct", "proxied"} {
			b.Run(fmt.Sprintf("bytes=%d/way=%s", length, way), func(b *testing.B) { benchUpload(b, length, way) })
		}
	}
}

func benchUpload(b *testing.B, length int, way string) {
	c, err := net.Dial("tcp", benchAddress(b, way))
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	var times []time.Duration
	for b.Loop() {
		times = append(times, uploadSlowly(b, c, reader, length))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2]), "ns/op")
}

// uploadSlowly returns the time from the last byte to the answer.
func uploadSlowly(b *testing.B, c net.Conn, reader *bufio.Reader, length int) time.Duration {
	_, _ = fmt.Fprintf(c, "POST /orders HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n", requestHead, length)
	began := time.Now()
	body := make([]byte, length)
	for i := range uploadSteps {
		time.Sleep(time.Until(began.Add(uploadTime * time.Duration(i) / uploadSteps)))
		if _, err := c.Write(body[length*i/uploadSteps : length*(i+1)/uploadSteps]); err != nil {
			b.Fatal(err)
		}
	}
	sent := time.Now()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		b.Fatal(err)
	}
	took := time.Since(sent)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d, error %v", resp.StatusCode, err)
	}
	return took
}
