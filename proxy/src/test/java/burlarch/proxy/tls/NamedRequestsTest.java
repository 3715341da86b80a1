package burlarch.proxy.tls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The log line of a client with a certificate. */
class NamedRequestsTest {
    @Test
    void namesTheSubjectBesideTheId() {
        assertEquals(
                "burlarch: X-Request-ID 9b1f03aa5c7e2d41 client CN=caja-03,OU=gijon-puerto\n",
                NamedRequests.line("9b1f03aa5c7e2d41", "CN=caja-03,OU=gijon-puerto"));
    }

    /** Neither the id, which is the client's, nor the subject may look like another line or subject. */
    @Test
    void cannotBeForged() {
        String line = NamedRequests.line("a client CN=caja-01", "CN=x\nburlarch: y\u2028\u001b[2J");
        assertEquals(
                "burlarch: X-Request-ID a\\u0020client\\u0020CN=caja-01 client "
                        + "CN=x\\u000aburlarch: y\\u2028\\u001b[2J\n",
                line);
        assertTrue(NamedRequests.line("x".repeat(9000), "y".repeat(9000)).length() < 700);
    }
}
