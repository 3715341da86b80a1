package burlarch.router.prefixcache;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.engine.KvUpdate;
import burlarch.router.prefixcache.KvUpdateBatchCodec.MalformedBatchException;
import burlarch.routing.KvEvents;
import burlarch.routing.KvEvents.KvEvent;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of batches, including truncated and corrupted ones. */
class KvUpdateBatchCodecTest {
    private static final KvUpdate EVENTS = new KvUpdate(
            new KvEvents(
                    "engine-1",
                    -5,
                    true,
                    List.of(
                            new KvEvent(true, "m|3|tenant", 0x5C1E07A2L, 800, ""),
                            new KvEvent(false, "m|3", -1, 0, ""),
                            new KvEvent(true, "m|3|tenant", Long.MAX_VALUE, Integer.MAX_VALUE, ""))),
            false,
            118,
            121);
    private static final KvUpdate SNAPSHOT =
            new KvUpdate(new KvEvents("store", Long.MAX_VALUE, false, List.of()), true, 1L << 40, 1L << 40);

    @Test
    void decodedBatchEqualsTheEncodedOne() throws MalformedBatchException {
        List<KvUpdate> batch = List.of(EVENTS, SNAPSHOT);
        assertThat(KvUpdateBatchCodec.decode(KvUpdateBatchCodec.encode(batch))).isEqualTo(batch);
        assertThat(KvUpdateBatchCodec.decode(KvUpdateBatchCodec.encode(List.of())))
                .isEmpty();
    }

    @Test
    void eventTakesSevenBytes() {
        List<KvEvent> events = IntStream.range(0, 100)
                .mapToObj(i -> new KvEvent(true, "m|3", 0xF0000000L + i, 2_000, "model"))
                .toList();
        KvUpdate update = new KvUpdate(new KvEvents("engine-1", 7, false, events), false, 0, 100);
        assertThat(KvUpdateBatchCodec.encode(List.of(update))).hasSizeLessThan(100 * 7 + 25);
    }

    @Test
    void everyTruncationIsDetected() {
        byte[] encoded = KvUpdateBatchCodec.encode(List.of(EVENTS, SNAPSHOT));
        for (int length = 0; length < encoded.length; length++) {
            byte[] truncated = Arrays.copyOf(encoded, length);
            assertThatThrownBy(() -> KvUpdateBatchCodec.decode(truncated)).isInstanceOf(MalformedBatchException.class);
        }
    }

    @Test
    void corruptedBatchDecodesOrThrowsMalformedBatchException() {
        byte[] encoded = KvUpdateBatchCodec.encode(List.of(EVENTS, SNAPSHOT));
        Random random = new Random(1);
        for (int trial = 0; trial < 5_000; trial++) {
            byte[] corrupted = encoded.clone();
            corrupted[random.nextInt(encoded.length)] = (byte) random.nextInt();
            try {
                assertThat(KvUpdateBatchCodec.decode(corrupted)).isNotNull();
            } catch (MalformedBatchException e) {
                assertThat(e.getMessage()).isNotEmpty();
            }
        }
    }
}
