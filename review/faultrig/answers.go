package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case "answers": some clients read their answers slowly, others at once.
const (
	// listBytes and orderBytes are the sizes of the answers of the two kinds of requests, noticeBytes that of a third one.
	listBytes, orderBytes, noticeBytes = 900_000, 1_000_000, 200
	// listClients ask for one list each and read it at slowBytes a second, in pieces of readBytes.
	listClients          = 80
	slowBytes, readBytes = 50_000, 10_000
	// orderClients send one order after the other with a pause, for orderTime.
	orderClients = 6
	orderPause   = 500 * time.Millisecond
	orderTime    = 12 * time.Second
	// inTouchAfter is contactMs of the site, with a margin.
	inTouchAfter = 5 * time.Second
	// lostAllowed is how often the rule LOST lets a machine close a kept connection without an answer.
	lostAllowed = 3
)

// documents is a sound server whose answers are of the size that the path names. It reads every request whole.
type documents struct {
	rig  *rig
	mu   sync.Mutex
	runs map[string]int
}

func (d *documents) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", serverID(0))
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	d.mu.Lock()
	d.runs[id]++
	d.mu.Unlock()
	size, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "s")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, err := w.Write(make([]byte, size))
	d.rig.note("server: ran %s, %d bytes sent, error: %v", id, size, err)
}

func (d *documents) ran(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

func playAnswers(r *rig) (bool, error) {
	d := &documents{rig: r, runs: map[string]int{}}
	if err := r.startService(64, d); err != nil {
		return false, err
	}
	r.size = size{536, 8192, 200}
	if err := r.startMachines(1); err != nil {
		return false, err
	}
	time.Sleep(inTouchAfter)
	m := r.machines[0]
	var all sync.WaitGroup
	for n := range listClients {
		all.Go(func() { readList(r, m, fmt.Sprint("list-", n)) })
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var whole, lost, refused int
	end := time.Now().Add(orderTime)
	for c := range orderClients {
		all.Go(func() {
			k := &keptConn{addr: m.listen.callers}
			defer k.close()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("order-%d-%d", c, n)
				if !k.isOpen() && !k.open(id+"-first") {
					time.Sleep(orderPause)
					continue
				}
				status, err := k.ask(id, orderBytes)
				r.note("client: %s answered with %d, error: %v", id, status, err)
				mu.Lock()
				switch {
				case err != nil && d.ran(id) > 0:
					lost++
				case status == http.StatusOK:
					whole++
				default:
					refused++
				}
				mu.Unlock()
				time.Sleep(orderPause)
			}
		})
	}
	all.Wait()
	r.note("orders on kept connections: %d answered whole, %d run and closed without the answer, %d others; own ends of the machine: %d, peak %d MB", whole, lost, refused, m.ownEnds, m.peakMB)
	if whole+lost == 0 {
		return false, errors.New("no order was run")
	}
	return lost > lostAllowed, nil
}

// readList asks for a list. With the disruption, it is read slowly.
func readList(r *rig, m *machine, id string) {
	k := &keptConn{addr: m.listen.callers}
	if !k.connect() {
		r.note("client: %s could not connect", id)
		return
	}
	defer k.close()
	resp, err := k.send(id, listBytes)
	if err != nil {
		r.note("client: %s: %v", id, err)
		return
	}
	got := 0
	for buf := make([]byte, readBytes); err == nil; {
		var n int
		n, err = io.ReadFull(resp.Body, buf)
		got += n
		if r.trouble {
			time.Sleep(time.Second * readBytes / slowBytes)
		}
	}
	r.note("client: %s answered with %d, %d bytes", id, resp.StatusCode, got)
}

// keptConn is a client's connection, which carries one request after the other.
type keptConn struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// receiveBuffer is that of a client's connection, since the windows of the deployments are small.
const receiveBuffer = 32 << 10

func (k *keptConn) connect() bool {
	c, err := net.DialTimeout("tcp", k.addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.(*net.TCPConn).SetReadBuffer(receiveBuffer) // fails only on a closed connection
	k.conn, k.reader = c, bufio.NewReader(c)
	return true
}

func (k *keptConn) isOpen() bool { return k.conn != nil }

func (k *keptConn) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// open opens the connection and makes a first request, so that it is a kept one.
func (k *keptConn) open(id string) bool {
	if !k.connect() {
		return false
	}
	status, err := k.ask(id, noticeBytes)
	if err != nil || status != http.StatusOK {
		k.close()
		return false
	}
	return true
}

// send sends an order that must not be repeated and returns the head of its answer.
func (k *keptConn) send(id string, size int) (*http.Response, error) {
	_, err := fmt.Fprintf(k.conn, "POST /orders/%d HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 30000\r\nAuthorization: Token k\r\nContent-Length: 2\r\n\r\n{}", size, id)
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(k.reader, nil)
}

// ask sends an order and reads its answer at once. The connection is closed after an error.
func (k *keptConn) ask(id string, size int) (status int, err error) {
	status, _, err = k.askSigned(id, size)
	return status, err
}

// askSigned is ask that also returns the signature in the answer.
func (k *keptConn) askSigned(id string, size int) (status int, signature string, err error) {
	resp, err := k.send(id, size)
	if err == nil {
		status, signature = resp.StatusCode, resp.Header.Get("Response-Signature")
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil || resp.Close {
		k.close()
	}
	return status, signature, err
}
