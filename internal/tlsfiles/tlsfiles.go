// Package tlsfiles builds TLS configurations from certificate files and reloads
// the files when they are replaced while the daemon runs.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between checks for changed files.
const checkInterval = 10 * time.Second

// Files holds the paths of the PEM files of a certificate, its private key and
// the certificate authority of the peers.
type Files struct {
	Cert, Key, CA string
}

// credentials is the parsed content of the files.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Source provides the current content of the files.
type Source struct {
	files Files
	now   func() time.Time

	mu       sync.Mutex
	current  credentials
	modified time.Time
	checked  time.Time
	// lastError is the reason why the latest change of the files is not in use.
	lastError error
}

// Open loads the files and returns a Source for them.
func Open(files Files) (*Source, error) {
	s := &Source{files: files, now: time.Now}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

// Config returns a mutual TLS configuration for both ends of a connection. Each
// presents its certificate and verifies the other's against the authority.
func (s *Source) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.certificate(), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.certificate(), nil
		},
		// VerifyConnection replaces the built-in verification, because the
		// authority may be replaced while the daemon runs.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

// ServerConfig returns a configuration for a server that does not authenticate
// its clients by certificates.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.certificate(), nil
		},
	}
}

// LastError returns the reason why the latest change of the files is not in
// use, or nil.
func (s *Source) LastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastError
}

func (s *Source) certificate() *tls.Certificate {
	m := s.refresh()
	return &m.certificate
}

// verify checks the peer's certificate against the current authority. The peer
// protocol checks the name in it, since it knows the expected daemon.
func (s *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	options := x509.VerifyOptions{
		Roots: s.refresh().authority, Intermediates: x509.NewCertPool(), CurrentTime: s.now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// refresh reloads the files when they have changed. When they cannot be loaded,
// the previous content stays in use.
func (s *Source) refresh() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) < checkInterval {
		return s.current
	}
	s.checked = now
	if latest, err := s.latestChange(); err == nil && !latest.After(s.modified) {
		return s.current
	}
	s.lastError = s.load()
	return s.current
}

// load reads the files. The caller holds mu, except in Open.
func (s *Source) load() error {
	modified, err := s.latestChange()
	if err != nil {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	pem, err := os.ReadFile(s.files.CA)
	if err != nil {
		return fmt.Errorf("load certificate authority: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return fmt.Errorf("load certificate authority: %s contains no certificate", s.files.CA)
	}
	s.current, s.modified, s.checked = credentials{certificate, authority}, modified, s.now()
	return nil
}

// latestChange returns the latest modification time of the files.
func (s *Source) latestChange() (time.Time, error) {
	var latest time.Time
	for _, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return latest, err
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}
