package front

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// chunkBytes is the size of the parts in which a response is buffered. A chunk is a
// little less than 32 KiB, the largest size that the allocator does not round up to
// pages.
const chunkBytes = 32<<10 - 16

// chunk is a part of a response.
type chunk struct {
	bytes [chunkBytes]byte
	n     int // bytes in use
}

var chunks = sync.Pool{New: func() any { return new(chunk) }}

// chunkQueue holds the parts of one response between the goroutine that reads it and the
// one that writes it. One chunk needs no memory of the budget, so that every response
// makes progress.
type chunkQueue struct {
	memory *memoryBudget
	arrive chan struct{} // holds a token when the state has changed for the writer
	depart chan struct{} // the same for the reader

	mu      sync.Mutex
	chunks  []*chunk
	charged int // chunks whose memory was taken
	err     error
	stopped bool
}

func newChunkQueue(m *memoryBudget) *chunkQueue {
	return &chunkQueue{memory: m, arrive: make(chan struct{}, 1), depart: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// fill reads the body until it ends or the queue is stopped.
func (q *chunkQueue) fill(body io.Reader, timer *requestTimer) {
	for q.awaitRoom() {
		c := chunks.Get().(*chunk)
		n, err := body.Read(c.bytes[:])
		c.n = n
		timer.progressed()
		q.push(c, err)
		if err != nil {
			return
		}
	}
}

// push appends a part and the error of reading the next. A small part is joined with the
// last one that waits.
func (q *chunkQueue) push(c *chunk, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.err = err
	joined := c.n == 0
	if last := len(q.chunks) - 1; !joined && last >= 0 && q.chunks[last].n+c.n <= chunkBytes {
		q.chunks[last].n += copy(q.chunks[last].bytes[q.chunks[last].n:], c.bytes[:c.n])
		joined = true
	}
	if joined {
		chunks.Put(c)
	} else {
		q.chunks = append(q.chunks, c)
	}
	signal(q.arrive)
}

// awaitRoom waits until another chunk may be read. It returns false if the queue is
// stopped.
func (q *chunkQueue) awaitRoom() bool {
	for {
		room, freed := q.tryRoom()
		if room {
			return !q.isStopped()
		}
		select {
		case <-q.depart:
		case <-freed:
		}
	}
}

// tryRoom reports whether another chunk may be read or the queue is stopped. Otherwise
// it returns a channel that is closed when there may be memory.
func (q *chunkQueue) tryRoom() (bool, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped || len(q.chunks) <= q.charged {
		return true, nil
	}
	taken, freed := q.memory.take(chunkBytes)
	if taken {
		q.charged++
	}
	return taken, freed
}

func (q *chunkQueue) isStopped() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stopped
}

// stop ends the reading side as soon as its read returns.
func (q *chunkQueue) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
	signal(q.depart)
}

// drain writes the parts as they arrive. It returns the first error of writing or, after
// all parts, that of reading. length is that of the whole body, negative if unknown.
func (q *chunkQueue) drain(w http.ResponseWriter, length int64, stall time.Duration) error {
	controller := http.NewResponseController(w)
	for {
		c, err := q.pop()
		if c == nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		n := c.n
		_ = controller.SetWriteDeadline(time.Now().Add(stall))
		_, err = w.Write(c.bytes[:n])
		chunks.Put(c)
		if err != nil {
			return err
		}
		// The server flushes the end of a response of known length.
		if length -= int64(n); length == 0 {
			continue
		}
		if err := controller.Flush(); err != nil {
			return err
		}
	}
}

// pop waits for a part and takes it out. It returns nil and the error of reading after
// the last one.
func (q *chunkQueue) pop() (*chunk, error) {
	for {
		if c, err := q.tryPop(); c != nil || err != nil {
			return c, err
		}
		<-q.arrive
	}
}

func (q *chunkQueue) tryPop() (*chunk, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.chunks) == 0 {
		return nil, q.err
	}
	c := q.chunks[0]
	q.chunks = q.chunks[1:]
	if q.charged > 0 {
		q.charged--
		q.memory.giveBack(chunkBytes)
	}
	signal(q.depart)
	return c, nil
}

// release gives back what is left of a response that was cut off. Neither side runs any
// more.
func (q *chunkQueue) release() {
	for _, c := range q.chunks {
		chunks.Put(c)
	}
	for range q.charged {
		q.memory.giveBack(chunkBytes)
	}
	q.chunks, q.charged = nil, 0
}
