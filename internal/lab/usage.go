package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// clockTicks is the kernel's unit of processor time in /proc, a second's hundredth on every Linux we know.
const clockTicks = 100

// Usage is what a process has used so far.
type Usage struct {
	CPUSeconds float64
	IOBytes    float64 // read and written, sockets included
	MemoryMB   float64 // resident now
}

// UsageOf reads a process's usage.
func UsageOf(pid int) Usage {
	return Usage{CPUSeconds: cpuSeconds(pid), IOBytes: ioBytes(pid), MemoryMB: memoryMB(pid)}
}

// Since returns the usage between two readings, with the memory of the later.
func (u Usage) Since(before Usage) Usage {
	return Usage{u.CPUSeconds - before.CPUSeconds, u.IOBytes - before.IOBytes, u.MemoryMB}
}

func cpuSeconds(pid int) float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

// field returns the number behind a label in a file of /proc.
func field(file, label string) float64 {
	content, _ := os.ReadFile(file)
	for _, line := range strings.Split(string(content), "\n") {
		if text, ok := strings.CutPrefix(line, label); ok {
			n, _ := strconv.ParseFloat(strings.Fields(text)[0], 64)
			return n
		}
	}
	return 0
}

func ioBytes(pid int) float64 {
	file := fmt.Sprintf("/proc/%d/io", pid)
	return field(file, "rchar:") + field(file, "wchar:")
}

func memoryMB(pid int) float64 {
	const kbPerMB = 1024
	return field(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:") / kbPerMB
}
