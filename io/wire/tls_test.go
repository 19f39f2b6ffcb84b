package wire_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"anvilstand/io/wire"
)

// newCertificate returns a self-signed certificate for the loopback address, which
// is also its own authority.
func newCertificate(t *testing.T) *wire.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "fleet"},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := writePEM(t, "CERTIFICATE", der)
	c, err := wire.LoadCertificate(cert, writePEM(t, "EC PRIVATE KEY", keyDER), cert)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func writePEM(t *testing.T, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "a.pem")
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestTLS connects with and without TLS, with certificates of the same and of
// another authority. want is empty where the connection must fail.
func TestTLS(t *testing.T) {
	own, other := newCertificate(t), newCertificate(t)
	cases := map[string]struct {
		listen wire.Network
		dial   wire.Network
		want   string
	}{
		"peer to peer":           {listen: wire.NewMutualTLS(wire.TCP{}, own), dial: wire.NewMutualTLS(wire.TCP{}, own), want: "whole"},
		"other authority dials":  {listen: wire.NewMutualTLS(wire.TCP{}, own), dial: wire.NewMutualTLS(wire.TCP{}, other)},
		"other authority serves": {listen: wire.NewMutualTLS(wire.TCP{}, other), dial: wire.NewMutualTLS(wire.TCP{}, own)},
		"plain TCP to peer":      {listen: wire.NewMutualTLS(wire.TCP{}, own), dial: wire.TCP{}},
		"caller":                 {listen: wire.NewServerTLS(wire.TCP{}, own), dial: wire.NewServerTLS(wire.TCP{}, own), want: "whole"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ln, err := tc.listen.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var g errgroup.Group
			g.Go(func() error { return serveOnce(ln) })
			if diff := cmp.Diff(tc.want, fetch(tc.dial, ln.Addr().String())); diff != "" {
				t.Error(diff)
			}
			_ = ln.Close()
			_ = g.Wait()
		})
	}
}

func serveOnce(ln net.Listener) error {
	conn, err := ln.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "whole")
	return err
}

func fetch(n wire.Network, address string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := n.DialContext(ctx, "tcp", address)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	text, err := io.ReadAll(conn)
	if err != nil {
		return ""
	}
	if string(text) != "whole" {
		return ""
	}
	return string(text)
}
