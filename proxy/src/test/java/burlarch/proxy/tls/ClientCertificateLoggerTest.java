package burlarch.proxy.tls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Format of the log line that names a client's certificate. */
class ClientCertificateLoggerTest {
    @Test
    void theLineContainsRequestIdAndSubject() {
        assertEquals(
                "burlarch: X-Request-ID 9b1f03aa5c7e2d41 client CN=caja-03,OU=gijon-puerto\n",
                ClientCertificateLogger.logLine("9b1f03aa5c7e2d41", "CN=caja-03,OU=gijon-puerto"));
    }

    /** The client chooses the id, so neither id nor subject may look like another line or another subject. */
    @Test
    void specialCharactersAreEscapedAndLongTextsTruncated() {
        String line = ClientCertificateLogger.logLine("a client CN=caja-01", "CN=x\nburlarch: y\u2028\u001b[2J");
        assertEquals(
                "burlarch: X-Request-ID a\\u0020client\\u0020CN=caja-01 client "
                        + "CN=x\\u000aburlarch: y\\u2028\\u001b[2J\n",
                line);
        assertTrue(ClientCertificateLogger.logLine("x".repeat(9000), "y".repeat(9000))
                        .length()
                < 700);
    }
}
