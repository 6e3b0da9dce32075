package httpserver

import "github.com/lesismal/nbio/mempool"

// init replaces nbio's pool of buffers by an allocator that never reuses one. nbhttp frees a buffer
// twice, and uses it in between, when it sends a chunk that does not fit into one write; with the
// pool two requests would share that buffer.
func init() { mempool.DefaultMemPool = mempool.NewSTD() }
