package fake

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const certificateValidity = time.Hour

// Authority is a certificate authority for tests.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// CertificateFiles holds the paths of the PEM files of a certificate, its key and
// the certificate of its authority.
type CertificateFiles struct {
	Cert, Key, CA string
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	a := &Authority{}
	var err error
	a.key, a.cert, err = issueCertificate("authority", nil, nil)
	return a, err
}

// issueCertificate creates a key and a certificate for a name. The certificate is
// signed by the parent's key, or self-signed if parent is nil.
func issueCertificate(name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: now.Add(-certificateValidity), NotAfter: now.Add(certificateValidity), IsCA: parent == nil, BasicConstraintsValid: true,
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return key, cert, err
}

// Write issues a certificate for a name and writes its files into a folder.
func (a *Authority) Write(folder, name string) (CertificateFiles, error) {
	files := CertificateFiles{filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem"), filepath.Join(folder, "ca.pem")}
	key, cert, err := issueCertificate(name, a.cert, a.key)
	if err != nil {
		return files, err
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, err
	}
	for _, f := range []struct {
		name  string
		block pem.Block
	}{
		{files.Cert, pem.Block{Type: "CERTIFICATE", Bytes: cert.Raw}},
		{files.Key, pem.Block{Type: "EC PRIVATE KEY", Bytes: der}},
		{files.CA, pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}},
	} {
		if err := os.WriteFile(f.name, pem.EncodeToMemory(&f.block), 0o600); err != nil {
			return files, err
		}
	}
	return files, nil
}
