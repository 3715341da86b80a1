package burlarch.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests that applying a delta yields the exact document or an error, because routers put the result into force, and
 * that deltas of small changes are small.
 */
class DocumentDeltaTest {
    private static final int ROUTES = 350;
    private static final int MAX_SMALL_DELTA_BYTES = 400;

    @Test
    void deltaOfOneChangedRouteIsSmall() throws DeltaMismatchException {
        byte[] base = document(7, -1);
        byte[] result = document(8, ROUTES / 2);
        byte[] delta = DocumentDelta.between(base, result);
        assertThat(base.length).isGreaterThan(100_000);
        assertThat(delta.length).isLessThan(MAX_SMALL_DELTA_BYTES);
        assertThat(DocumentDelta.apply(base, delta)).isEqualTo(result);
    }

    @Test
    void deltaOfALongerVersionNumberAndAnInsertedRouteIsSmall() throws DeltaMismatchException {
        byte[] base = document(99, -1);
        String text = new String(document(100, -1), StandardCharsets.UTF_8);
        byte[] result =
                text.replace(route(40, -1), route(40, -1) + route(900, -1)).getBytes(StandardCharsets.UTF_8);
        byte[] delta = DocumentDelta.between(base, result);
        assertThat(delta.length).isLessThan(MAX_SMALL_DELTA_BYTES);
        assertThat(DocumentDelta.apply(base, delta)).isEqualTo(result);
    }

    @Test
    void deltaFromNoBaseContainsTheCompleteDocument() throws DeltaMismatchException {
        byte[] result = document(1, -1);
        byte[] completeDelta = DocumentDelta.between(DocumentDelta.NO_BASE, result);
        assertThat(completeDelta.length).isLessThan(result.length / 5);
        assertThat(DocumentDelta.apply(DocumentDelta.NO_BASE, completeDelta)).isEqualTo(result);
    }

    @Test
    void deltaOfRandomDocumentsYieldsTheResult() throws DeltaMismatchException {
        Random random = new Random(3);
        for (int iteration = 0; iteration < 2_000; iteration++) {
            byte[] base = randomBytes(random);
            byte[] result = random.nextInt(4) == 0 ? randomBytes(random) : withRandomChanges(base, random);
            assertThat(DocumentDelta.apply(base, DocumentDelta.between(base, result)))
                    .isEqualTo(result);
        }
    }

    @Test
    void rejectsAnotherBaseAndEveryCorruptDelta() {
        byte[] base = document(7, -1);
        byte[] delta = DocumentDelta.between(base, document(8, 3));
        assertThatThrownBy(() -> DocumentDelta.apply(document(6, -1), delta))
                .isInstanceOf(DeltaMismatchException.class);
        assertThatThrownBy(() -> DocumentDelta.apply(base, new byte[5])).isInstanceOf(DeltaMismatchException.class);
        for (int index = 0; index < delta.length; index++) {
            byte[] corruptDelta = delta.clone();
            corruptDelta[index] ^= 0x21;
            assertThatThrownBy(() -> DocumentDelta.apply(base, corruptDelta))
                    .isInstanceOf(DeltaMismatchException.class);
        }
    }

    /** Returns up to 299 bytes of few values, so that random documents have chunks in common. */
    private static byte[] randomBytes(Random random) {
        byte[] bytes = new byte[random.nextInt(300)];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) random.nextInt(3);
        }
        return bytes;
    }

    private static byte[] withRandomChanges(byte[] base, Random random) {
        byte[] result = base.clone();
        for (int i = random.nextInt(4); i > 0 && result.length > 0; i--) {
            result[random.nextInt(result.length)]++;
        }
        return result;
    }

    /** Returns a document of similar routes. A changed number of -1 changes none of them. */
    private static byte[] document(int version, int changedNumber) {
        StringBuilder text = new StringBuilder("{\"config_version\":" + version + ",\"routes\":[");
        for (int i = 0; i < ROUTES; i++) {
            text.append(route(i, changedNumber));
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a route in JSON; the route with the changed number has another timeout. */
    private static String route(int number, int changedNumber) {
        return """
                {"name":"route-%d","hostname":"host%d.example","path_prefix":"/area%d/",
                "route_type":"streaming","timeout_ms":%d,"target_latency_ms":900,"priority":%d,
                "traffic_split":[{"service":"service-%d","weight":100}],"retries":1,"resumable":true,
                "tenants":["tenant-%d","tenant-%d"],"public":false,"owner":"team-of-area-%d",
                "notes":"one of some hundred routes that differ in little"},
                """
                .formatted(
                        number,
                        number % 17,
                        number,
                        number == changedNumber ? 4321 : 8000,
                        number % 3,
                        number % 5,
                        number % 11,
                        number % 7,
                        number);
    }
}
