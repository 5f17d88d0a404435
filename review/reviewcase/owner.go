package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// ownsSocket reports whether the process of a gateway has the TCP socket with the given local address.
func (g *gateway) ownsSocket(local net.Addr) bool {
	inode := socketInode(local)
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", g.command.Process.Pid))
	if inode == "" || err != nil {
		return false
	}
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// Columns of /proc/net/tcp.
const (
	localColumn  = 1
	stateColumn  = 3
	queuesColumn = 4 // bytes to send and to read; of a listener the connections to accept
	inodeColumn  = 9
	columns      = 10
)

// listenState is the state of a listening socket in /proc/net/tcp.
const listenState = "0A"

// socketFields returns the line of /proc/net/tcp of the socket with the given local address, or nil if there is none. A socket that
// listens and the connections that it has accepted have the same local address.
func socketFields(address string, listens bool) []string {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil || tcp.IP.To4() == nil {
		return nil
	}
	ip := tcp.IP.To4()
	wanted := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return nil
	}
	defer table.Close() //nolint:errcheck // only read
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) >= columns && fields[localColumn] == wanted && (fields[stateColumn] == listenState) == listens {
			return fields
		}
	}
	return nil
}

// socketInode returns the inode of the connection with the given local address, or "" if there is none.
func socketInode(local net.Addr) string {
	if fields := socketFields(local.String(), false); fields != nil {
		return fields[inodeColumn]
	}
	return ""
}

// unaccepted returns how many connections of other gateways wait to be accepted by a gateway.
func (g *gateway) unaccepted() int64 {
	fields := socketFields(g.peer, true)
	if fields == nil {
		return 0
	}
	_, waiting, _ := strings.Cut(fields[queuesColumn], ":")
	n, _ := strconv.ParseInt(waiting, 16, 64)
	return n
}

// openFiles returns how many descriptors the process of a gateway has open.
func (g *gateway) openFiles() int {
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", g.command.Process.Pid))
	return len(links)
}

// leads reports whether the log of a gateway says that it leads.
func (g *gateway) leads() bool {
	log, err := os.ReadFile(g.file + ".log")
	if err != nil {
		return false
	}
	leads := false
	for line := range strings.Lines(string(log)) {
		var entry struct {
			Message string `json:"msg"`
			Held    bool   `json:"held"`
		}
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "lease" {
			leads = entry.Held
		}
	}
	return leads
}

// leader returns the gateway that leads, or nil.
func (d *deployment) leader() *gateway {
	for _, g := range d.gateways {
		if g.leads() {
			return g
		}
	}
	return nil
}
