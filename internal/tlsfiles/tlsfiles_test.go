package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.key, a.cert = a.issue("authority", nil, nil)
	return a
}

func (a *authority) issue(name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: parent == nil, BasicConstraintsValid: true,
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(a.t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return key, cert
}

func (a *authority) write(dir, name string) Files {
	key, cert := a.issue(name, a.cert, a.key)
	der, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	files := Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: cert.Raw},
		files.Key:  {Type: "EC PRIVATE KEY", Bytes: der},
		files.CA:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		require.NoError(a.t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

// handshake returns the name that the server proved, or an error of either end.
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

// Guards against accepting a peer whose certificate another authority signed.
func TestPeersOfOneAuthorityOnly(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	a, err := Open(ours.write(t.TempDir(), "a"))
	require.NoError(t, err)
	b, err := Open(ours.write(t.TempDir(), "b"))
	require.NoError(t, err)
	x, err := Open(theirs.write(t.TempDir(), "x"))
	require.NoError(t, err)

	name, err := handshake(t, a.Config(), b.Config())
	require.NoError(t, err)
	require.Equal(t, "a", name)
	_, err = handshake(t, a.Config(), x.Config())
	require.Error(t, err)
	_, err = handshake(t, x.Config(), a.Config())
	require.Error(t, err)
}

// Guards against a renewed certificate needing a restart, and against a broken
// file ending the service.
func TestFilesAreReloaded(t *testing.T) {
	ca := newAuthority(t)
	dir := t.TempDir()
	server, err := Open(ca.write(dir, "old"))
	require.NoError(t, err)
	client, err := Open(ca.write(t.TempDir(), "client"))
	require.NoError(t, err)
	clock := time.Now()
	server.now = func() time.Time { return clock }

	ca.write(dir, "new")
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
