package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// addressLifetime is how long users hold the list of addresses.
const addressLifetime = time.Second

// burst is a number of users that come one after the other. Each opens one connection, sends one request, and keeps the connection.
type burst struct {
	deployment *deployment
	ended      chan struct{}
	all        sync.WaitGroup
	addresses  atomic.Pointer[[]string]
	sent       atomic.Int64
	answered   atomic.Int64

	mu          sync.Mutex
	connections []net.Conn
	stopOnce    sync.Once
}

// startBurst lets users come at the given rate a second.
func startBurst(d *deployment, perSecond float64) *burst {
	b := &burst{deployment: d, ended: make(chan struct{})}
	b.all.Go(b.resolve)
	b.all.Go(func() {
		next := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer next.Stop()
		for {
			select {
			case <-b.ended:
				return
			case <-next.C:
				b.all.Go(b.come)
			}
		}
	})
	return b
}

// stop ends the burst and closes the users' connections.
func (b *burst) stop() {
	b.stopOnce.Do(func() {
		close(b.ended)
		b.all.Wait()
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, c := range b.connections {
			_ = c.Close()
		}
		b.deployment.record.add("end of the burst: %d users came, %d were answered with success", b.sent.Load(), b.answered.Load())
	})
}

// resolve asks the gateways for the addresses to use, again and again.
func (b *burst) resolve() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, i := range rand.Perm(len(b.deployment.gateways)) {
			if list := askAddresses(&client, b.deployment.gateways[i].registry); len(list) > 0 {
				b.addresses.Store(&list)
				break
			}
		}
		select {
		case <-b.ended:
			return
		case <-time.After(addressLifetime):
		}
	}
}

func askAddresses(client *http.Client, registry string) []string {
	res, err := client.Get("http://" + registry + "/v1/resolve?name=" + callerHost + "&region=r1&zone=z1")
	if err != nil {
		return nil
	}
	defer res.Body.Close() //nolint:errcheck // only read
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(res.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// come is one user: it chooses an address at random, and another one if it cannot connect.
func (b *burst) come() {
	list := b.addresses.Load()
	if list == nil {
		return
	}
	n := b.sent.Add(1)
	for _, i := range rand.Perm(len(*list)) {
		c, err := net.DialTimeout("tcp", (*list)[i], time.Second)
		if err != nil {
			continue
		}
		b.mu.Lock()
		b.connections = append(b.connections, c)
		b.mu.Unlock()
		if b.request(c, fmt.Sprintf("user-%d", n)) {
			b.answered.Add(1)
		}
		return
	}
}

// request sends one request on the connection and reports whether it was answered with success.
func (b *burst) request(c net.Conn, attempt string) bool {
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, err := fmt.Fprintf(c, "GET /suggest/2f HTTP/1.1\r\nHost: %s\r\nX-Moorrun-Attempt-Id: %s\r\nX-Moorrun-Deadline-Ms: 1000\r\nAuthorization: Bearer %s\r\n\r\n",
		callerHost, attempt, apiKey)
	if err != nil {
		return false
	}
	res, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	if err != nil {
		return false
	}
	defer res.Body.Close() //nolint:errcheck // only read
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}
