package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["heads"] = runHeads }

const (
	// oddClients is the number of clients with odd heads, and oddHeadBytes the size of each
	// head, which is the limit of the manifest.
	oddClients   = 1400
	oddHeadBytes = 16384
	oddWorkers   = 4
	// ordinaryCallers send orders meanwhile.
	ordinaryCallers = 60
)

// shortLines returns header lines with names of four letters, each other ones, up to a size.
func shortLines(size int) []byte {
	const letters = "bcdefghijklmnopqrstuvwyz"
	var lines bytes.Buffer
	for i := 0; lines.Len()+7 <= size; i++ {
		n := i
		for range 4 {
			lines.WriteByte(letters[n%len(letters)])
			n /= len(letters)
		}
		lines.WriteString(":\r\n")
	}
	return lines.Bytes()
}

// openOddClient sends a first request and reads its answer; the connection stays open.
func openOddClient(front string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", front, 2*time.Second)
	if err != nil {
		return nil, err
	}
	first := "POST /none/1 HTTP/1.1\r\nHost: desk.example\r\nX-Lentilpoint-Attempt-Id: " + newAttempt("o") + "\r\nX-Api-Key: " + apiKey + "\r\nContent-Length: 0\r\n\r\n"
	if _, err := conn.Write([]byte(first)); err != nil {
		return conn, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return conn, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return conn, err
	}
	return conn, conn.SetReadDeadline(time.Time{})
}

// sendOddHead sends, on a connection that has had an answer, a head of legal size with very many
// short lines, and nothing of its body. With emptyLine an empty line stands before it.
func sendOddHead(conn net.Conn, emptyLine bool) error {
	head := "POST " + pathOrder + "odd HTTP/1.1\r\nHost: desk.example\r\nX-Lentilpoint-Attempt-Id: " + newAttempt("o") + "\r\nX-Api-Key: " + apiKey + "\r\nContent-Length: 100\r\n"
	var request bytes.Buffer
	if emptyLine {
		request.WriteString("\r\n")
	}
	request.WriteString(head)
	request.Write(shortLines(oddHeadBytes - len(head) - 2))
	request.WriteString("\r\n")
	_, err := conn.Write(request.Bytes())
	return err
}

// runHeads has clients on kept connections send heads of legal size with very many short lines. In the disruption an
// empty line stands before each of these requests.
func runHeads(folder string, r *record, trouble bool) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	f, err := newSite(folder, s)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	ordinary := newBook()
	handle := func(server *server, writer http.ResponseWriter, request *http.Request) {
		ordinary.begun(request.Header.Get("X-Lentilpoint-Attempt-Id"))
		time.Sleep(30 * time.Millisecond)
		server.answer(writer, request)
	}
	s.put("op", "config", manifest(7, false))
	entries := newRegistry(s)
	for i, zone := range []string{"jkt", "bdg", "smg", "sby"} {
		started, err := startServer(fmt.Sprintf("i-desk-%d", i), "desk", zone, "", 6, handle)
		if err != nil {
			return false, err
		}
		entries.add(started)
	}
	if err := f.startAll(f.relays); err != nil {
		return false, err
	}
	r.write("six relays are ready")
	time.Sleep(5 * time.Second)
	front := f.relays[0]
	var stopped atomic.Bool
	var callers sync.WaitGroup
	for range ordinaryCallers {
		callers.Go(func() {
			ordinary.keepCalling(front.front(), call{prefix: "c", method: http.MethodPost, path: pathOrder, body: []byte("an order"), limit: 1500 * time.Millisecond}, &stopped)
		})
	}
	time.Sleep(2 * time.Second)
	var conns []net.Conn
	for range oddClients {
		conn, err := openOddClient(front.front())
		if conn != nil {
			conns = append(conns, conn)
		}
		if err != nil {
			return false, fmt.Errorf("an odd client got no answer to its first request: %w", err)
		}
	}
	r.write("%s takes %d MB with %d ordinary callers and %d odd clients that have had an answer; these send their heads", front.name, front.residentBytes()/1_000_000, ordinaryCallers, oddClients)
	var sent, failed atomic.Int64
	var odd sync.WaitGroup
	for worker := range oddWorkers {
		odd.Go(func() {
			for i := worker; i < len(conns); i += oddWorkers {
				if err := sendOddHead(conns[i], trouble); err != nil {
					failed.Add(1)
				} else {
					sent.Add(1)
				}
			}
		})
	}
	peak, ended := f.watchMemory(r, front, time.Now().Add(15*time.Second))
	r.write("%s took %d MB at most; %d odd requests were sent, %d connections failed", front.name, peak/1_000_000, sent.Load(), failed.Load())
	stopped.Store(true)
	callers.Wait()
	odd.Wait()
	for _, conn := range conns {
		_ = conn.Close()
	}
	ordinary.writeTo(r)
	lost := ordinary.lost()
	r.write("ordinary callers got %v (by status, 0 for none); the process ended: %v; requests of kept connections that a server worked on and that got no answer: %d", ordinary.statuses, ended, len(lost))
	for _, id := range lost {
		r.write("lost: %s", id)
	}
	return ended && len(lost) > 3, nil
}
