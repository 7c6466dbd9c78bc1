package processlimit

import (
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"
)

// Guards against a process without a bound because its settings name no memory.
func TestMachineMemory(t *testing.T) {
	const meminfo = "MemTotal:       1000000 kB\nMemFree: 5 kB\n"
	share := func(bytes int64) int64 { return int64(machineShare * float64(bytes)) }
	for _, c := range []struct {
		name  string
		files map[string]string
		want  int64
	}{
		{"nothing is known", nil, 0},
		{"machine", map[string]string{"proc/meminfo": meminfo}, share(1000000 << 10)},
		{"unreadable", map[string]string{"proc/meminfo": "MemTotal: x kB\n", "proc/self/cgroup": "x"}, 0},
		{"group without a limit", map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "max\n"}, share(1000000 << 10)},
		{"group", map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "500000000\n"}, share(500000000)},
		{"group around it", map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/memory.max": "400000000\n",
			"sys/fs/cgroup/a/b/memory.max": "500000000\n"}, share(400000000)},
		{"root of its name space", map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "0::/\n", "sys/fs/cgroup/memory.max": "300000000\n"}, share(300000000)},
		{"version 1", map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "5:cpu:/x\n3:memory:/a\n", "sys/fs/cgroup/memory/a/memory.limit_in_bytes": "200000000\n"}, share(200000000)},
		{"version 1 without a limit", map[string]string{"proc/meminfo": meminfo, "proc/self/cgroup": "3:memory:/\n", "sys/fs/cgroup/memory/memory.limit_in_bytes": "9223372036854771712\n"}, share(1000000 << 10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			root := fstest.MapFS{}
			for name, text := range c.files {
				root[name] = &fstest.MapFile{Data: []byte(text)}
			}
			require.Equal(t, c.want, machineMemory(root))
		})
	}
	require.Positive(t, New(0, 0).MemoryBytes, "this machine")
}
