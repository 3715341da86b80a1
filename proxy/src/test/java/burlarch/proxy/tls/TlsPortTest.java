package burlarch.proxy.tls;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.proxy.FakeServer;
import burlarch.proxy.Features;
import burlarch.proxy.Fixture;
import java.io.IOException;
import java.io.InputStream;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Requests over TLS on loopback, with a certificate authority created for the test. */
@Timeout(60)
class TlsPortTest {
    @TempDir
    Path folder;

    private TestCertificateAuthority authority;

    @BeforeEach
    void writeFiles() throws Exception {
        authority = new TestCertificateAuthority("test-ca");
        TestCertificateAuthority.write(folder, authority.issue("CN=proxy"));
        Files.writeString(folder.resolve("ca.pem"), authority.rootCertificate.getCertificatePEM());
    }

    private Fixture startProxy(String minVersion, boolean requestsClientCertificate) throws Exception {
        return new Fixture(
                List.of(),
                Fixture.SOCKETS,
                Features.none().with(TestCertificateAuthority.settings(folder, minVersion, requestsClientCertificate)));
    }

    private static InetSocketAddress tlsAddress(Fixture proxy) {
        return proxy.sidePort("tls.listen");
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String request(String id, String... headers) {
        return "GET /look/k HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Tenant-Id: acme\r\n"
                + "X-Timeout-Ms: 15000\r\n" + String.join("", headers) + "\r\n";
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static String exchange(SSLSocket socket, String id) throws IOException {
        try (socket) {
            write(socket, request(id, "Connection: close\r\n"));
            return readAll(socket);
        }
    }

    private static BigInteger serverCertificateSerial(SSLSocket socket) throws IOException {
        return ((X509Certificate) socket.getSession().getPeerCertificates()[0]).getSerialNumber();
    }

    @Test
    void requestsAreServedOverTls12AndTls13() throws Exception {
        try (Fixture proxy = startProxy("1.2", false)) {
            proxy.cache.answerWith("200 OK", "v");
            for (String version : List.of("TLSv1.2", "TLSv1.3")) {
                SSLSocket socket = authority.connect(tlsAddress(proxy), null, version);
                String answer = exchange(socket, version);
                assertTrue(answer.startsWith("HTTP/1.1 200 OK") && answer.endsWith("\r\n\r\nv"), answer);
                assertEquals(version, socket.getSession().getProtocol());
            }
            try (SSLSocket socket = authority.connect(tlsAddress(proxy), null)) {
                write(socket, "GET /nothing/here HTTP/1.1\r\nHost: x\r\n\r\n");
                assertTrue(readAll(socket).startsWith("HTTP/1.1 404 "));
            }
            assertEquals("v", proxy.read("k").get().body(), "the plain port serves beside it");
        }
    }

    @Test
    void aHandshakeBelowTheMinimumVersionIsRejected() throws Exception {
        try (Fixture proxy = startProxy("1.3", false)) {
            proxy.cache.answerWith("200 OK", "v");
            try (SSLSocket oldClient = authority.connect(tlsAddress(proxy), null, "TLSv1.2")) {
                assertThrows(SSLException.class, oldClient::startHandshake);
            }
            assertTrue(exchange(authority.connect(tlsAddress(proxy), null, "TLSv1.3"), "a")
                    .startsWith("HTTP/1.1 200 "));
        }
    }

    /**
     * The Java client no longer supports TLS 1.1, so the test writes the ClientHello and reads the alert as raw bytes.
     */
    @Test
    void aTls11ClientHelloGetsAProtocolVersionAlert() throws Exception {
        byte[] hello = HexFormat.of()
                .parseHex("160301002d" + "01000029" + "0302" + "5a".repeat(32) + "00" + "0002" + "002f" + "0100");
        try (Fixture proxy = startProxy("1.2", false);
                Socket socket = new Socket("127.0.0.1", tlsAddress(proxy).getPort())) {
            socket.getOutputStream().write(hello);
            byte[] alert = socket.getInputStream().readNBytes(7);
            assertEquals(21, alert[0], "an alert");
            // Level fatal (2), description protocol_version (70).
            assertArrayEquals(new byte[] {2, 70}, Arrays.copyOfRange(alert, 5, 7));
            assertTrue(proxy.cache.hasNoRequests());
        }
    }

    /** Clients that send nothing, half a ClientHello, or no TLS at all get an alert or a close. */
    @Test
    void connectionsWithoutAValidHandshakeOrRequestAreClosed() throws Exception {
        try (Fixture proxy = startProxy("1.2", false)) {
            for (String text : List.of("", "\u0016\u0003\u0001\u0000\u002d\u0001", request("a"))) {
                try (Socket socket = new Socket("127.0.0.1", tlsAddress(proxy).getPort())) {
                    write(socket, text);
                    assertTrue(socket.getInputStream().readAllBytes().length <= 64);
                } catch (IOException e) {
                    assertTrue(e.getMessage().contains("reset"), e.toString());
                }
            }
            try (SSLSocket silentClient = authority.connect(tlsAddress(proxy), null)) {
                silentClient.startHandshake();
                assertTrue(readAll(silentClient).startsWith("HTTP/1.1 408 "));
            }
            assertTrue(proxy.cache.hasNoRequests());
        }
    }

    /** Open connections keep the old certificate; new connections get the new one. */
    @Test
    void aReloadAppliesToNewConnectionsOnly() throws Exception {
        try (Fixture proxy = startProxy("1.2", false);
                SSLSocket openSocket = authority.connect(tlsAddress(proxy), null)) {
            proxy.cache.answerWith("200 OK", "v");
            write(openSocket, request("before"));
            InputStream input = openSocket.getInputStream();
            String response = "";
            while (!response.endsWith("\r\n\r\nv")) {
                response += (char) input.read();
            }
            BigInteger oldSerial = serverCertificateSerial(openSocket);
            TestCertificateAuthority.write(folder, authority.issue("CN=proxy"));
            proxy.reloadCertificates();
            BigInteger newSerial = oldSerial;
            long startNanos = System.nanoTime();
            while (newSerial.equals(oldSerial)) {
                assertTrue(System.nanoTime() - startNanos < 20_000_000_000L, "the old one is still in use");
                try (SSLSocket newSocket = authority.connect(tlsAddress(proxy), null)) {
                    newSocket.startHandshake();
                    newSerial = serverCertificateSerial(newSocket);
                }
            }
            write(openSocket, request("after", "Connection: close\r\n"));
            assertTrue(readAll(openSocket).endsWith("\r\n\r\nv"));
            assertEquals(oldSerial, serverCertificateSerial(openSocket));
        }
    }

    @Test
    void aClientCertificateIsRequestedButNotRequired() throws Exception {
        try (Fixture proxy = startProxy("1.2", true)) {
            proxy.cache.answerWith("200 OK", "v");
            assertTrue(exchange(authority.connect(tlsAddress(proxy), null), "a").startsWith("HTTP/1.1 200 "));
            assertTrue(exchange(authority.connect(tlsAddress(proxy), authority.issue("CN=caja-03")), "b")
                    .startsWith("HTTP/1.1 200 "));
        }
    }

    /** The client's certificate is issued by another authority of the same name. */
    @Test
    void anUntrustedClientCertificateFailsTheHandshake() throws Exception {
        try (Fixture proxy = startProxy("1.2", true)) {
            for (String version : List.of("TLSv1.2", "TLSv1.3")) {
                SSLSocket socket = authority.connect(
                        tlsAddress(proxy), new TestCertificateAuthority("test-ca").issue("CN=caja-03"), version);
                assertThrows(IOException.class, () -> exchange(socket, "a"));
            }
            assertTrue(proxy.cache.hasNoRequests());
        }
    }

    @Test
    void aDrainAnswersOpenRequests() throws Exception {
        try (Fixture proxy = startProxy("1.2", false);
                SSLSocket socket = authority.connect(tlsAddress(proxy), null)) {
            write(socket, request("a"));
            FakeServer.Received received = proxy.cache.next();
            Thread drain = new Thread(proxy::drain);
            drain.start();
            received.answer("200 OK", "v");
            assertTrue(readAll(socket).endsWith("\r\n\r\nv"));
            drain.join();
        }
    }
}
