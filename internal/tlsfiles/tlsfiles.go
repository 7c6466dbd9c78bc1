// Package tlsfiles builds mutual TLS configurations from certificate files that
// may be replaced while the daemon runs.
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

// checkInterval bounds how often the files are looked at.
const checkInterval = 10 * time.Second

// Files names the PEM files of a certificate, its key and the authority that
// signs the certificates of peers.
type Files struct {
	Cert, Key, CA string
}

// material is the content of the files.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Source holds the current content of the files.
type Source struct {
	files Files
	now   func() time.Time

	mu       sync.Mutex
	current  material
	modified time.Time
	checked  time.Time
	// lastError is the reason why changed files are not in use.
	lastError error
}

// Open reads the files for the first time.
func Open(files Files) (*Source, error) {
	s := &Source{files: files, now: time.Now}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

// Config returns a configuration for both ends of a connection. Both present a
// certificate and verify the other's against the authority.
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
		// The authority may be replaced while the daemon runs, so the check
		// of VerifyConnection stands in for the built-in one.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

// ServerConfig returns a configuration for a server whose clients are
// authenticated by other means than a certificate.
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

// verify checks the peer's certificate against the current authority. The name
// in it is checked by the peer protocol, which knows the expected daemon.
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

// refresh reads the files again when they have changed. Files that cannot be
// used leave the former content in force.
func (s *Source) refresh() material {
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
		return fmt.Errorf("load authority: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return fmt.Errorf("load authority: %s holds no certificate", s.files.CA)
	}
	s.current, s.modified, s.checked = material{certificate, authority}, modified, s.now()
	return nil
}

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
