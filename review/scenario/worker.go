package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	workerSlots = 6
	workerQueue = 24
	workTime    = 30 * time.Millisecond
)

// worker is a stand-in for a worker of the plain service.
type worker struct {
	d        *deployment
	id       string
	address  string
	zone     string
	born     int64
	listener net.Listener

	mu    sync.Mutex
	state string
	seq   int
	// runs holds the times at which requests began to run, by request id.
	runs map[string][]time.Time
	// loseAnswer tells whether the answer to the n-th run is lost: the worker
	// resets the connection instead of answering.
	loseAnswer func(n int) bool
	// spoilHead tells whether the head of the answer to the n-th run is spoiled: it
	// switches to a protocol that nobody asked for, and nothing follows until the
	// caller closes.
	spoilHead func(n int) bool
	total     int
	conns     map[net.Conn]bool
	// present counts the requests that run or wait for a slot.
	present int
	slots   chan struct{}
	stopped chan struct{}
}

// startWorkers starts a worker in each zone.
func (d *deployment) startWorkers(n int) ([]*worker, error) {
	var all []*worker
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", d.subnet, 61+i))
		if err != nil {
			return nil, err
		}
		w := &worker{d: d, id: fmt.Sprintf("i-%d%08x", i, time.Now().UnixNano()&0xffffffff), address: l.Addr().String(), zone: zones[i%len(zones)],
			born: time.Now().UnixMilli(), listener: l, state: "ready", runs: map[string][]time.Time{}, conns: map[net.Conn]bool{}, slots: make(chan struct{}, workerSlots), stopped: make(chan struct{})}
		d.rec.printf("worker %s serves at %s in %s", w.id, w.address, w.zone)
		go w.serve()
		go w.beat(i)
		all = append(all, w)
	}
	return all, nil
}

// beat sends a heartbeat at each interval, to one control daemon after the other.
func (w *worker) beat(first int) {
	for n := first; ; n++ {
		w.heartbeat(n)
		select {
		case <-w.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one heartbeat; without an acknowledgement, the next control
// daemon is called. It returns the time of the acknowledgement.
func (w *worker) heartbeat(first int) (acknowledged time.Time, by string) {
	w.mu.Lock()
	w.seq++
	body, err := json.Marshal(map[string]any{"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": workerSlots,
		"state": w.state, "cold_remaining_ms": 0, "born": w.born, "seq": w.seq})
	w.mu.Unlock()
	if err != nil {
		return time.Time{}, ""
	}
	controls := w.d.controls()
	for i := range controls {
		control := controls[(first+i)%len(controls)]
		if status, _, err := w.d.post(control, "/v1/Instances.Heartbeat/"+w.id, body); err == nil && status/100 == 2 {
			return time.Now(), control
		}
	}
	return time.Time{}, ""
}

// exit ends the worker: it closes all of its connections.
func (w *worker) exit() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

func (w *worker) serve() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serveConn(conn)
	}
}

// serveConn serves one request at a time on a connection.
func (w *worker) serveConn(conn net.Conn) {
	defer conn.Close()
	w.mu.Lock()
	w.conns[conn] = true
	w.mu.Unlock()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !w.answer(conn, req, body) {
			return
		}
	}
}

// answer runs a request and answers it. It returns false if the connection was
// reset.
func (w *worker) answer(conn net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("Bluebellfield-Attempt-Id")
	if expected := req.Header.Get("Bluebellfield-Expect-Instance"); expected != "" && expected != w.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nBluebellfield-Attempt-Id: %s\r\nBluebellfield-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	if !w.enter() {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nBluebellfield-Attempt-Id: %s\r\nBluebellfield-Not-Executed: 1\r\nBluebellfield-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", id, w.load())
		return err == nil
	}
	defer w.leave()
	w.mu.Lock()
	w.runs[id] = append(w.runs[id], time.Now())
	w.total++
	lost := w.loseAnswer != nil && w.loseAnswer(w.total)
	spoiled := w.spoilHead != nil && w.spoilHead(w.total)
	w.mu.Unlock()
	w.d.rec.printf("worker %s: runs %s (%s %s, %d bytes)", w.id, id, req.Method, req.URL.Path, len(body))
	time.Sleep(workTime)
	if lost {
		w.d.rec.printf("worker %s: has run %s, the answer is lost", w.id, id)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	if spoiled {
		w.d.rec.printf("worker %s: has run %s, its answer is spoiled", w.id, id)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nBluebellfield-Attempt-Id: %s\r\n\r\n", id)
		_, _ = io.Copy(io.Discard, conn)
		return false
	}
	answer := "done " + id
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBluebellfield-Attempt-Id: %s\r\nBluebellfield-Server-Seal: seal.%s.%s\r\nBluebellfield-Server-Load: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		id, w.id, id, w.load(), len(answer), answer)
	return err == nil
}

// enter waits for a slot. It returns false if the queue is full.
func (w *worker) enter() bool {
	w.mu.Lock()
	if w.present >= workerSlots+workerQueue {
		w.mu.Unlock()
		return false
	}
	w.present++
	w.mu.Unlock()
	w.slots <- struct{}{}
	return true
}

func (w *worker) leave() {
	<-w.slots
	w.mu.Lock()
	defer w.mu.Unlock()
	w.present--
}

// load returns the numbers of running and waiting requests and of slots.
func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := min(w.present, workerSlots)
	return fmt.Sprintf("%d,%d,%d", running, w.present-running, workerSlots)
}

// runsAfter counts the runs that began after a time.
func (w *worker) runsAfter(t time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, times := range w.runs {
		for _, at := range times {
			if at.After(t) {
				n++
			}
		}
	}
	return n
}
