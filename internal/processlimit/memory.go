package processlimit

import (
	"bytes"
	"io/fs"
	"math"
	"strconv"
	"strings"
)

// machineShare is the part of the memory of a machine or control group that a process
// uses whose settings name none. The rest is for the system and other processes.
const machineShare = 0.8

// machineMemory returns the bytes that a process may use by default, given the root of
// the file system: the smaller of what the machine has and what the control group
// allows, less a reserve. It returns 0 if neither can be read.
func machineMemory(root fs.FS) int64 {
	least := int64(math.MaxInt64)
	for _, read := range []func(fs.FS) (int64, bool){readMachine, readControlGroups} {
		if n, ok := read(root); ok {
			least = min(least, n)
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return int64(machineShare * float64(least))
}

func readMachine(root fs.FS) (int64, bool) {
	data, err := fs.ReadFile(root, "proc/meminfo")
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "MemTotal:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10, err == nil && kilobytes > 0
		}
	}
	return 0, false
}

// readControlGroups returns the smallest limit of the process's control group and the
// groups around it, of version 2 or 1.
func readControlGroups(root fs.FS) (int64, bool) {
	data, err := fs.ReadFile(root, "proc/self/cgroup")
	if err != nil {
		return 0, false
	}
	least, found := int64(math.MaxInt64), false
	for line := range strings.Lines(string(data)) {
		parts := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(parts) != 3 {
			continue
		}
		base, file := "sys/fs/cgroup", "memory.max"
		if parts[1] == "memory" {
			base, file = "sys/fs/cgroup/memory", "memory.limit_in_bytes"
		} else if parts[1] != "" {
			continue
		}
		folder := strings.TrimSuffix(base+"/"+strings.Trim(parts[2], "/"), "/")
		for ; len(folder) >= len(base); folder = folder[:strings.LastIndexByte(folder, '/')] {
			// Without a limit the file says "max", or is absent.
			text, _ := fs.ReadFile(root, folder+"/"+file)
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64); err == nil && n > 0 {
				least, found = min(least, n), true
			}
		}
	}
	return least, found
}
