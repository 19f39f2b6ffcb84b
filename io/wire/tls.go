package wire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/go-faster/errors"
)

// TLS is a network that uses TLS 1.3 over the connections of another network.
type TLS struct {
	inner  Network
	listen *tls.Config
	dial   *tls.Config
}

// NewServerTLS returns a network whose listeners present a certificate and accept
// clients that have none.
func NewServerTLS(inner Network, c *Certificate) TLS {
	return TLS{inner: inner, listen: c.serverConfig(tls.NoClientCert), dial: c.clientConfig()}
}

// NewMutualTLS returns a network on which both ends must present a certificate
// signed by the same authority.
func NewMutualTLS(inner Network, c *Certificate) TLS {
	return TLS{inner: inner, listen: c.serverConfig(tls.RequireAndVerifyClientCert), dial: c.clientConfig()}
}

// Listen listens at an address, as host:port. The listener implements
// SYNDropper.
func (t TLS) Listen(address string) (net.Listener, error) {
	ln, err := t.inner.Listen(address)
	if err != nil {
		return nil, err
	}
	return tlsListener{Listener: tls.NewListener(ln, t.listen), inner: ln}, nil
}

// DialContext connects to an address and verifies that the server's certificate is
// valid for its host. The handshake is limited by dialTimeout.
func (t TLS) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.inner.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	host, _, _ := net.SplitHostPort(address)
	config := t.dial.Clone()
	config.ServerName = host
	client := tls.Client(conn, config)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := client.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "TLS handshake with %s", address)
	}
	return client, nil
}

// Certificate is a certificate with its key, and the authority that signs the
// certificates of all daemons.
type Certificate struct {
	own       tls.Certificate
	authority *x509.CertPool
}

// LoadCertificate reads a certificate, its key and the certificates of its
// authority from PEM files.
func LoadCertificate(cert, key, authority string) (*Certificate, error) {
	own, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate from %s", cert)
	}
	pool, err := LoadAuthority(authority)
	if err != nil {
		return nil, err
	}
	return &Certificate{own: own, authority: pool}, nil
}

// LoadAuthority reads the certificates of an authority from a PEM file.
func LoadAuthority(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("load authority %s: no PEM certificate found", file)
	}
	return pool, nil
}

func (c *Certificate) serverConfig(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.own},
		ClientCAs:    c.authority,
		ClientAuth:   auth,
		MinVersion:   tls.VersionTLS13,
	}
}

func (c *Certificate) clientConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.own},
		RootCAs:      c.authority,
		MinVersion:   tls.VersionTLS13,
	}
}
