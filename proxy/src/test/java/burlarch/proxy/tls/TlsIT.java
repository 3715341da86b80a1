package burlarch.proxy.tls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.proxy.FakeServer;
import burlarch.proxy.Fixture;
import burlarch.proxy.ProxyProcess;
import io.netty.pkitesting.X509Bundle;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.List;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The TLS port of the packaged program: settings file, log and reload command. */
@Timeout(120)
class TlsIT {
    @TempDir
    Path folder;

    private TestCertificateAuthority authority;
    private InetSocketAddress address;

    @BeforeEach
    void writeFiles() throws Exception {
        authority = new TestCertificateAuthority("test-ca");
        TestCertificateAuthority.write(folder, authority.issue("CN=proxy"));
        Files.writeString(folder.resolve("ca.pem"), authority.rootCertificate.getCertificatePEM());
        address = new InetSocketAddress("127.0.0.1", ProxyProcess.freePort());
    }

    private String settingsFile(int checkIntervalSeconds) throws Exception {
        return Files.writeString(
                        folder.resolve("operator.toml"),
                        "[tls]\nlisten = \"127.0.0.1:"
                                + address.getPort() + "\"\ncert_file = \"" + folder.resolve("cert.pem")
                                + "\"\nkey_file = \""
                                + folder.resolve("key.pem") + "\"\nclient_ca = \"" + folder.resolve("ca.pem")
                                + "\"\ncheck_s = " + checkIntervalSeconds + "\n")
                .toString();
    }

    private static String awaitLine(ProxyProcess program, String part) throws Exception {
        String line = program.error().readLine();
        while (line != null && !line.contains(part)) {
            line = program.error().readLine();
        }
        assertNotNull(line, "the program has ended");
        return line;
    }

    private BigInteger serverCertificateSerial() throws Exception {
        try (SSLSocket socket = authority.connect(address, null)) {
            socket.startHandshake();
            return ((X509Certificate) socket.getSession().getPeerCertificates()[0]).getSerialNumber();
        }
    }

    @Test
    void theCommandReloadsTheCertificateAndKeepsTheOldOneOnFailure() throws Exception {
        try (ProxyProcess program = ProxyProcess.serve(folder, List.of(), "--config", settingsFile(3600))) {
            BigInteger firstSerial = serverCertificateSerial();
            Files.writeString(
                    folder.resolve("key.pem"), authority.issue("CN=proxy").getPrivateKeyPEM());
            assertEquals(0, program.command("tls-reload").status());
            String failure = awaitLine(program, "the certificates stay as they were");
            assertTrue(failure.contains("key.pem"), failure);
            assertEquals(firstSerial, serverCertificateSerial());
            X509Bundle newCertificate = authority.issue("CN=proxy");
            TestCertificateAuthority.write(folder, newCertificate);
            assertEquals(0, program.command("tls-reload").status());
            awaitLine(program, "certificates read again");
            assertNotEquals(firstSerial, serverCertificateSerial());
            assertEquals(newCertificate.getCertificate().getSerialNumber(), serverCertificateSerial());
        }
    }

    @Test
    void aChangedFileIsReloadedWithoutACommand() throws Exception {
        try (ProxyProcess program = ProxyProcess.serve(folder, List.of(), "--config", settingsFile(1))) {
            X509Bundle newCertificate = authority.issue("CN=proxy");
            TestCertificateAuthority.write(folder, newCertificate);
            awaitLine(program, "certificates read again");
            assertEquals(newCertificate.getCertificate().getSerialNumber(), serverCertificateSerial());
        }
    }

    @Test
    void theClientSubjectIsLoggedWithTheRequestId() throws Exception {
        try (FakeServer cache = new FakeServer();
                ProxyProcess program = ProxyProcess.serve(
                        folder,
                        List.of(Fixture.entry("c-1", cache, "cache", "SERVING")),
                        "--config",
                        settingsFile(3600));
                SSLSocket socket = authority.connect(address, authority.issue("CN=caja-03,OU=gijon-puerto"))) {
            cache.answerWith("200 OK", "v");
            socket.getOutputStream()
                    .write(("GET /look/k HTTP/1.1\r\nHost: x\r\n"
                                    + "X-Request-ID: 9b1f03aa5c7e2d41\r\nX-Timeout-Ms: 9000\r\n"
                                    + "Connection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
            assertEquals(
                    "burlarch: X-Request-ID 9b1f03aa5c7e2d41 client CN=caja-03,OU=gijon-puerto",
                    awaitLine(program, "9b1f03aa5c7e2d41"));
        }
    }

    @Test
    void theStartFailsIfTheKeyDoesNotMatchTheCertificate() throws Exception {
        Files.writeString(folder.resolve("key.pem"), authority.issue("CN=proxy").getPrivateKeyPEM());
        ProxyProcess.Ended ended = ProxyProcess.failedStart(folder, "--config", settingsFile(30));
        assertEquals(1, ended.status(), ended.error());
        assertEquals(1, ended.error().lines().count(), ended.error());
        assertTrue(ended.error().contains("key.pem: not the key of "), ended.error());
    }

    @Test
    void aProxyWithoutTlsIsNotSignalled() throws Exception {
        try (ProxyProcess program = ProxyProcess.serve(folder, List.of())) {
            ProxyProcess.Ended ended = program.command("tls-reload");
            assertEquals(1, ended.status());
            assertTrue(ended.error().contains("no TLS port in service"), ended.error());
            assertTrue(program.isAlive());
        }
    }
}
