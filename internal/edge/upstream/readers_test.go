package upstream

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// answerReaders are the files that may send requests through the HTTP library. All but
// the stand-ins check the answers.
var answerReaders = []string{
	"internal/ctl/client.go",
	"internal/edge/upstream/answer.go",
	"internal/edge/upstream/client.go",
	// Stand-ins for upstreams and callers, and the tools that use them.
	"internal/cluster/client.go",
	"internal/cluster/cluster.go",
	"internal/fake/server.go",
}

// Guards against a new reader of answers that trusts the HTTP library alone.
func TestReadersOfAnswers(t *testing.T) {
	sends := regexp.MustCompile(`http\.(Client|Transport)\{|http\.Default(Client|Transport)|http\.(Get|Post|Head|PostForm|ReadResponse)\(|\.RoundTrip\(`)
	root := filepath.Join("..", "..", "..")
	var found []string
	require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		name, _ := filepath.Rel(root, path)
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (name == "review" || name == "tools" || name == filepath.Join("internal", "bench")):
			return fs.SkipDir
		case entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go"):
			return nil
		}
		data, err := os.ReadFile(path)
		if sends.Match(data) {
			found = append(found, filepath.ToSlash(name))
		}
		return err
	}))
	for _, name := range found {
		require.True(t, slices.Contains(answerReaders, name), "%s reads answers: use Exchange or an AnswerChecker and list it here", name)
	}
}
