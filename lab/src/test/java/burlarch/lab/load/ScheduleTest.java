package burlarch.lab.load;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Checks schedules and the Zipf distribution against computed values, and the response parsers against input split
 * or truncated at every byte.
 */
class ScheduleTest {
    private static int countBetween(long[] dueTimes, double fromS, double toS) {
        return (int) Arrays.stream(dueTimes)
                .filter(dueNanos -> dueNanos >= fromS * 1e9 && dueNanos < toS * 1e9)
                .count();
    }

    @Test
    void evenArrivalsAreEquallySpaced() {
        long[] dueTimes = Schedule.of(Shape.constant(100), 2, false, 1);
        assertEquals(200, dueTimes.length);
        assertEquals(5_000_000, dueTimes[0]);
        for (int i = 1; i < dueTimes.length; i++) {
            assertEquals(10_000_000, dueTimes[i] - dueTimes[i - 1], 1000);
        }
    }

    @Test
    void requestCountsMatchIntegralsOfShapes() {
        assertEquals(150, Schedule.of(Shape.ramp(0, 100, 0, 2).plus(Shape.constant(25)), 2, false, 1).length, 1);
        long[] step = Schedule.of(Shape.step(10, 1000, 1), 2, false, 1);
        assertEquals(10, countBetween(step, 0, 1), 1);
        assertEquals(1000, countBetween(step, 1, 2), 1);
        assertEquals(50, countBetween(Schedule.of(Shape.spike(500, 1, 0.1), 3, false, 1), 1, 1.1), 1);
        assertEquals(100 * (1 + 5) / 2.0 * 2, Schedule.of(Shape.day(100, 500, 2), 2, false, 1).length, 2);
        long[] rush = Schedule.of(Shape.rush(1000, 1, 1, 1), 5, false, 1);
        assertTrue(countBetween(rush, 0, 1) < 30);
        assertEquals(1000 / Math.log(2) / 2, countBetween(rush, 2, 3), 3);
    }

    @Test
    void poissonArrivalsHaveExpectedMeanAndDeviationAndDependOnSeed() {
        long[] dueTimes = Schedule.of(Shape.constant(1000), 50, true, 7);
        assertEquals(50_000, dueTimes.length, 5 * Math.sqrt(50_000));
        double meanGapMs = 0;
        double meanSquareMs = 0;
        for (int i = 1; i < dueTimes.length; i++) {
            double gapMs = (dueTimes[i] - dueTimes[i - 1]) / 1e6;
            meanGapMs += gapMs / (dueTimes.length - 1);
            meanSquareMs += gapMs * gapMs / (dueTimes.length - 1);
        }
        assertEquals(1, Math.sqrt(meanSquareMs - meanGapMs * meanGapMs) / meanGapMs, 0.02);
        assertArrayEquals(dueTimes, Schedule.of(Shape.constant(1000), 50, true, 7));
        assertFalse(Arrays.equals(dueTimes, Schedule.of(Shape.constant(1000), 50, true, 8)));
    }

    @Test
    void zipfRanksHaveExpectedFrequencies() {
        Zipf zipf = new Zipf(1000, 1, 0);
        double totalWeight = 0;
        for (int rank = 1; rank <= 1000; rank++) {
            totalWeight += 1.0 / rank;
        }
        int firstRankCount = 0;
        for (int i = 0; i < 100_000; i++) {
            firstRankCount += zipf.rank(i / 100_000.0) == 0 ? 1 : 0;
        }
        assertEquals(1 / totalWeight, firstRankCount / 100_000.0, 0.001);
        assertEquals(999, zipf.rank(0.999999));
    }

    @Test
    void responseIsParsedWhenSplitAtAnyByte() {
        byte[] bytes = ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 Too Many Requests\r\n"
                        + "retry-after: 0.250\r\n"
                        + "Content-Length: 5\r\nConnection: close\r\n\r\nhello")
                .getBytes(StandardCharsets.US_ASCII);
        for (int cut = 0; cut <= bytes.length; cut++) {
            ResponseParser parser = new ResponseParser();
            parser.read(Unpooled.wrappedBuffer(bytes, 0, cut));
            assertEquals(
                    ResponseParser.State.DONE,
                    parser.read(Unpooled.wrappedBuffer(bytes, cut, bytes.length - cut)),
                    "cut at " + cut);
            assertEquals(429, parser.status);
            assertEquals(0.25, parser.retryAfterS);
            assertTrue(parser.close);
            assertEquals(burlarch.audit.Digest.of("hello".getBytes(StandardCharsets.US_ASCII)), parser.bodyDigest);
        }
    }

    @Test
    void multiGetLinesAreParsedUpToFirstTruncatedOne() {
        byte[] body = "a 200 5\n12.5\n\nb 504 0\n\nc 200 1\nx\n".getBytes(StandardCharsets.US_ASCII);
        assertEquals(3, MultiGetResponse.read(body).size());
        assertEquals(504, MultiGetResponse.read(body).get("b").status());
        assertEquals(
                burlarch.audit.Digest.of("12.5\n".getBytes(StandardCharsets.US_ASCII)),
                MultiGetResponse.read(body).get("a").bodyDigest());
        for (int cut = 0; cut < body.length; cut++) {
            assertTrue(MultiGetResponse.read(Arrays.copyOf(body, cut)).size() < 3, "cut at " + cut);
        }
    }

    @Test
    void malformedResponseIsReportedAsBroken() {
        for (String text : new String[] {
            "HTTP/1.1 200 OK\r\n\r\n",
            "nonsense\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            "HTTP/1.1 2x0 OK\r\n"
        }) {
            ResponseParser parser = new ResponseParser();
            assertEquals(
                    ResponseParser.State.BROKEN,
                    parser.read(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII)),
                    text);
        }
    }
}
