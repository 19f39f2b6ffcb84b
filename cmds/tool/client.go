package tool

import (
	"crypto/tls"
	"net/http"

	"github.com/urfave/cli/v3"

	"anvilstand/io/wire"
)

// AuthorityFlag returns the flag for the certificate authority of a daemon that
// serves operators over TLS.
func AuthorityFlag() cli.Flag {
	return &cli.StringFlag{Name: "authority", Usage: "PEM `FILE` of the authority, when the daemon uses TLS"}
}

// Client returns an HTTP client for the daemon at an address given as host:port,
// and the daemon's base URL. It uses TLS if the flag --authority is set. The error
// is that of reading the authority's file.
func Client(cmd *cli.Command, address string) (*http.Client, string, error) {
	file := cmd.String("authority")
	if file == "" {
		return http.DefaultClient, "http://" + address, nil
	}
	pool, err := wire.LoadAuthority(file)
	if err != nil {
		return nil, "", err
	}
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}, "https://" + address, nil
}
