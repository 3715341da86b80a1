package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Logging while the reader of standard error has stopped reading. */
@Timeout(60)
class LogWriterTest {
    @Test
    void callersAreNotBlockedAndQueuedTextsAreWrittenOnceReaderReads() throws Exception {
        CountDownLatch writerBlocked = new CountDownLatch(1);
        CountDownLatch readerResumed = new CountDownLatch(1);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        LogWriter writer = new LogWriter(
                new PrintStream(new OutputStream() {
                    @Override
                    public void write(int value) {
                        writerBlocked.countDown();
                        try {
                            readerResumed.await();
                        } catch (InterruptedException e) {
                            throw new IllegalStateException(e);
                        }
                        written.write(value);
                    }
                }),
                2);
        Thread thread = new Thread(writer);
        thread.setDaemon(true);
        thread.start();
        assertTrue(writer.offer(() -> "a\n"));
        writerBlocked.await();
        assertTrue(writer.offer(() -> "b\n"));
        assertTrue(writer.offer(() -> "c\n"));
        assertFalse(writer.offer(() -> "d\n"), "the queue is full");
        readerResumed.countDown();
        writer.flush(20_000);
        assertEquals("a\nb\nc\n", written.toString(StandardCharsets.UTF_8));
        thread.interrupt();
    }
}
