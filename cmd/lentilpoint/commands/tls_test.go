package commands_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint/commands"
	"github.com/lentilpoint/lentilpoint/settings"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func writeCertificate(directory string) (certificate, key string) {
	GinkgoHelper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	content, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	Expect(err).NotTo(HaveOccurred())
	encoded, err := x509.MarshalECPrivateKey(private)
	Expect(err).NotTo(HaveOccurred())
	certificate, key = filepath.Join(directory, "cert.pem"), filepath.Join(directory, "key.pem")
	Expect(os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: content}), 0o600)).To(Succeed())
	Expect(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}), 0o600)).To(Succeed())
	return certificate, key
}

var _ = Describe("the operator API with TLS", func() {
	It("is used with --ca-file, counts as unavailable without it, and fails without TLS", func() {
		certificate, key := writeCertificate(GinkgoT().TempDir())
		c, err := cluster.Start(context.Background(), cluster.Options{Seed: 1, EntryHosts: 1, Settings: func(values *settings.Settings) {
			values.OperatorAddress, values.OperatorTokens = "127.0.0.1:0", []string{token}
			values.OperatorTLSCertificate, values.OperatorTLSKey = certificate, key
		}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Stop)
		address := c.Hosts[0].OperatorAddress()
		run := func(arguments ...string) result {
			return runWith(nil, "", append([]string{"status", "--token", token}, arguments...)...)
		}
		r := run("--server", "https://"+address, "--ca-file", certificate)
		Expect(r.code).To(Equal(commands.ExitDone), r.err)
		Expect(run("--server", "https://"+address).code).To(Equal(commands.ExitUnavailable))
		Expect(run("--server", "http://"+address).code).NotTo(Equal(commands.ExitDone))
	})
})
