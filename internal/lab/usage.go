package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// clockTicksPerSecond is the resolution of processor times in /proc (USER_HZ), 100 on every known Linux system.
const clockTicksPerSecond = 100

// Usage is the resource usage of a process since its start, or between two readings.
type Usage struct {
	CPUSeconds float64
	IOBytes    float64 // read and written, including sockets
	MemoryMB   float64 // current resident set
}

// UsageOf reads the usage of a process from /proc; what cannot be read is 0.
func UsageOf(pid int) Usage {
	return Usage{CPUSeconds: cpuSeconds(pid), IOBytes: ioBytes(pid), MemoryMB: memoryMB(pid)}
}

// Since returns the usage since the earlier reading before, with the memory of u.
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
	return (user + system) / clockTicksPerSecond
}

// field returns the number after a label in a file of /proc, or 0 if there is none.
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
