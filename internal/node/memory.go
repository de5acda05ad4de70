package node

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	memoryCheckInterval = 100 * time.Millisecond
	memoryLogInterval   = time.Second
	memoryWarnPercent   = 75 // of limits.memory_mb
	residentMemoryFile  = "/proc/self/statm"
)

// residentMemory returns how many bytes of the process are resident (proc(5), /proc/pid/statm).
func residentMemory() (int64, error) {
	text, err := os.ReadFile(residentMemoryFile)
	if err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0, fmt.Errorf("memory: %s has an unknown form", residentMemoryFile)
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	return pages * int64(os.Getpagesize()), nil
}

// watchMemory logs a warning while the process is close to its memory limit, until the channel is closed. It is for the
// real machine: the processes of a simulated one share their memory.
func (n *Node) watchMemory(ended <-chan struct{}) {
	check := time.NewTicker(memoryCheckInterval)
	defer check.Stop()
	var logged time.Time
	for {
		select {
		case <-ended:
			return
		case now := <-check.C:
			resident, err := residentMemory()
			if err != nil {
				n.log.Warn("the memory in use is not known", "error", err)
				return
			}
			if resident*100 < n.cfg.Memory*memoryWarnPercent || now.Sub(logged) < memoryLogInterval {
				continue
			}
			logged = now
			n.logMemory(resident)
		}
	}
}

// logMemory says what may use the memory.
func (n *Node) logMemory(resident int64) {
	if front := n.startedFront.Load(); front != nil {
		c := front.Counters()
		n.log.Warn("the memory in use is close to its limit", "resident", resident, "limit", n.cfg.Memory, "clients", c.Open,
			"incomplete", c.Incomplete, "input_bytes", c.InputBytes)
	}
}
