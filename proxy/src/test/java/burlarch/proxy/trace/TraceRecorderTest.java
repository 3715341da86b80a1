package burlarch.proxy.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.proxy.Features;
import burlarch.proxy.Fixture;
import burlarch.proxy.RequestTable.ClientRequest;
import burlarch.proxy.UpstreamRequest;
import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import burlarch.trace.TraceReader;
import burlarch.trace.TraceRecord;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Recording of requests to a trace file. A disk that blocks or fails must not delay requests, and the file must respect
 * its maximum size.
 */
@Timeout(120)
class TraceRecorderTest {
    @TempDir
    Path folder;

    private static ClientRequest arrival(String key) {
        return new ClientRequest(
                0,
                0,
                true,
                1,
                0,
                5_000_000,
                "acme",
                key,
                new UpstreamRequest(HttpMethod.GET, "/look/" + key, "id", null, new byte[0]),
                480);
    }

    private static List<TraceRecord> read(Path file) throws IOException {
        List<TraceRecord> records = new ArrayList<>();
        try (TraceReader reader = new TraceReader(file)) {
            for (TraceRecord traceRecord = reader.next(); traceRecord != null; traceRecord = reader.next()) {
                records.add(traceRecord);
            }
        }
        return records;
    }

    @Test
    void aProxyRecordsAcceptedRequestsAndCompletesTheFile() throws Exception {
        Path file = folder.resolve("t.trace");
        try (Fixture fixture =
                new Fixture(List.of(), Fixture.SOCKETS, Features.none().with(new TraceSettings(file, 1 << 20)))) {
            fixture.cache.answerWith("200 OK", "v");
            fixture.origin.answerWith("200 OK", "w");
            assertEquals(200, fixture.read("k1").get().statusCode());
            assertEquals(
                    200,
                    fixture.send("PUT", "/note/k2", "body", "Idempotency-Key", "i", "X-Timeout-Ms", "9000")
                            .get()
                            .statusCode());
            fixture.drain();
        }
        List<TraceRecord> records = read(file);
        assertEquals(2, records.size());
        assertEquals("look acme k1 false 15000", describe(records.get(0)));
        assertEquals("note acme k2 true 9000", describe(records.get(1)));
        assertEquals(4, records.get(1).bodyBytes());
    }

    private static String describe(TraceRecord traceRecord) {
        return traceRecord.requestClass() + " " + traceRecord.tenant() + " " + traceRecord.key() + " "
                + traceRecord.write() + " " + traceRecord.timeoutMs();
    }

    @Test
    void aBlockedDiskDelaysNoRequest() throws Exception {
        CountDownLatch diskUnblocked = new CountDownLatch(1);
        OutputStream disk = new OutputStream() {
            private int writes;

            @Override
            public void write(int value) throws IOException {
                write(new byte[] {(byte) value}, 0, 1);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) throws IOException {
                // Blocks only after the file header has been written.
                if (writes++ > 40) {
                    try {
                        diskUnblocked.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
            }
        };
        AtomicLong clockNanos = new AtomicLong();
        TraceRecorder recorder = new TraceRecorder(
                new TraceSettings(folder.resolve("x"), 1 << 30),
                new TraceRecorder.Sink(folder.resolve("x"), disk),
                List.of("look"),
                clockNanos::incrementAndGet);
        // Far more than the queue and one block hold: every call must return although nothing is written.
        for (int i = 0; i < 200_000; i++) {
            recorder.requestAccepted(arrival("k" + i));
        }
        diskUnblocked.countDown();
        recorder.close();
    }

    @Test
    void theFileIsCompleteAtItsMaximumSize() throws Exception {
        Path file = folder.resolve("small.trace");
        AtomicLong clockNanos = new AtomicLong();
        TraceRecorder recorder = new TraceRecorder(
                new TraceSettings(file, 40_000),
                TraceRecorder.Sink.create(new TraceSettings(file, 1)),
                List.of("look"),
                clockNanos::incrementAndGet);
        for (int i = 0; i < 3_000_000 && Files.size(file) < 40_000; i++) {
            recorder.requestAccepted(arrival("k" + i * 7919L));
        }
        recorder.close();
        int count = read(file).size();
        assertTrue(count >= 4096, count + " records");
        assertTrue(Files.size(file) < 400_000);
    }

    @Test
    void aDiskErrorEndsOnlyTheRecording() throws Exception {
        OutputStream disk = new OutputStream() {
            private int writes;

            @Override
            public void write(int value) throws IOException {
                if (writes++ > 40) {
                    throw new IOException("no space left");
                }
            }
        };
        AtomicLong clockNanos = new AtomicLong();
        TraceRecorder recorder = new TraceRecorder(
                new TraceSettings(folder.resolve("x"), 1 << 20),
                new TraceRecorder.Sink(folder.resolve("x"), disk),
                List.of("look"),
                clockNanos::incrementAndGet);
        for (int i = 0; i < 10_000; i++) {
            recorder.requestAccepted(arrival("k"));
        }
        recorder.close();
        recorder.requestAccepted(arrival("k"));
        assertFalse(Thread.getAllStackTraces().keySet().stream()
                .anyMatch(thread -> thread.getName().equals("burlarch-trace")));
    }

    @Test
    void recordingIsOffByDefaultAndAnExistingFileIsNotOverwritten() throws Exception {
        assertEquals(
                null, TraceSettings.read(SettingsFile.empty().section("trace")).file());
        Path existingFile = Files.writeString(folder.resolve("there"), "precious");
        SettingsException exception = assertThrows(
                SettingsException.class, () -> TraceRecorder.Sink.create(new TraceSettings(existingFile, 1)));
        assertTrue(exception.getMessage().contains("there")
                && exception.getMessage().startsWith("trace.file"));
        assertEquals("precious", Files.readString(existingFile));
        try (Fixture fixture = new Fixture(List.of(), Fixture.SOCKETS, Features.none())) {
            assertFalse(Thread.getAllStackTraces().keySet().stream()
                    .anyMatch(thread -> thread.isAlive() && thread.getName().equals("burlarch-trace")));
            fixture.drain();
        }
    }
}
