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

const certificateLife = time.Hour

// Authority signs certificates for tests.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// CertificateFiles are the PEM files of a certificate.
type CertificateFiles struct {
	Cert, Key, CA string
}

// NewAuthority returns an authority with a key of its own.
func NewAuthority() (*Authority, error) {
	a := &Authority{}
	var err error
	a.key, a.cert, err = issue("authority", nil, nil)
	return a, err
}

// issue makes a certificate for a name, signed by the parent, or by itself
// without one.
func issue(name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: now.Add(-certificateLife), NotAfter: now.Add(certificateLife), IsCA: parent == nil, BasicConstraintsValid: true,
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

// Write writes a new certificate for a name into a folder.
func (a *Authority) Write(folder, name string) (CertificateFiles, error) {
	files := CertificateFiles{filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem"), filepath.Join(folder, "ca.pem")}
	key, cert, err := issue(name, a.cert, a.key)
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
