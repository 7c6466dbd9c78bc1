package tlsfiles

import (
	"crypto/tls"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/fake"
)

// openSource writes a certificate for name into a directory and returns its Source.
func openSource(t *testing.T, ca *fake.Authority, folder, name string) *Source {
	files, err := ca.Write(folder, name)
	require.NoError(t, err)
	s, err := Open(Files(files))
	require.NoError(t, err)
	return s
}

func newAuthority(t *testing.T) *fake.Authority {
	ca, err := fake.NewAuthority()
	require.NoError(t, err)
	return ca
}

// handshake returns the common name of the server's certificate, or the errors
// of both ends.
func handshake(t *testing.T, server, client *tls.Config) (string, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
		served <- err
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err == nil {
		defer conn.Close()
	}
	if serverErr := <-served; serverErr != nil || err != nil {
		return "", errors.Join(serverErr, err)
	}
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// Guards against accepting a peer whose certificate is signed by another
// authority.
func TestRejectsPeersOfAnotherAuthority(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	a, b := openSource(t, ours, t.TempDir(), "a"), openSource(t, ours, t.TempDir(), "b")
	x := openSource(t, theirs, t.TempDir(), "x")

	name, err := handshake(t, a.Config(), b.Config())
	require.NoError(t, err)
	require.Equal(t, "a", name)
	_, err = handshake(t, a.Config(), x.Config())
	require.Error(t, err)
	_, err = handshake(t, x.Config(), a.Config())
	require.Error(t, err)
}

// Guards against a renewed certificate that takes effect only after a restart,
// and against an outage caused by an invalid file.
func TestFilesAreReloaded(t *testing.T) {
	ca := newAuthority(t)
	dir := t.TempDir()
	server, client := openSource(t, ca, dir, "old"), openSource(t, ca, t.TempDir(), "client")
	clock := time.Now()
	server.now = func() time.Time { return clock }

	_, err := ca.Write(dir, "new")
	require.NoError(t, err)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(filepath.Join(dir, "cert.pem"), later, later))
	clock = clock.Add(2 * checkInterval)
	name, err := handshake(t, server.Config(), client.Config())
	require.NoError(t, err)
	require.Equal(t, "new", name)

	require.NoError(t, os.WriteFile(filepath.Join(dir, "key.pem"), []byte("broken"), 0o600))
	later = later.Add(time.Minute)
	require.NoError(t, os.Chtimes(filepath.Join(dir, "key.pem"), later, later))
	clock = clock.Add(2 * checkInterval)
	name, err = handshake(t, server.Config(), client.Config())
	require.NoError(t, err)
	require.Equal(t, "new", name)
	require.Error(t, server.LastError())
}
