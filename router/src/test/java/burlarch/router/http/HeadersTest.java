package burlarch.router.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Parsing of single header values. */
class HeadersTest {
    @Test
    void malformedNumberYieldsTheFallback() {
        assertThat(Headers.parseNumber("0", 5)).isZero();
        assertThat(Headers.parseNumber("8000", 5)).isEqualTo(8000);
        assertThat(Headers.parseNumber("", 5)).isEqualTo(5);
        assertThat(Headers.parseNumber("1.5", 5)).isEqualTo(5);
        assertThat(Headers.parseNumber("99999999999999999999", 5)).isEqualTo(5);
    }
}
