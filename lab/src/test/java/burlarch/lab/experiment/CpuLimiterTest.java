package burlarch.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Limits a process that would use a whole core. */
class CpuLimiterTest {
    @Test
    void busyProcessStaysWithinQuotaAndResumesWhenLimiterCloses() throws Exception {
        Process busy = new ProcessBuilder("/bin/sh", "-c", "while :; do :; done").start();
        try {
            long startNanos;
            long usedBeforeNanos;
            try (CpuLimiter limiter = new CpuLimiter(0.3)) {
                limiter.limit(busy.pid());
                startNanos = System.nanoTime();
                usedBeforeNanos = CpuLimiter.cpuNanos(busy.pid());
                TimeUnit.MILLISECONDS.sleep(2000);
                double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
                double usedSeconds = (CpuLimiter.cpuNanos(busy.pid()) - usedBeforeNanos) / 1e9;
                // The quota, plus one period for the one that has just begun, with a margin. Without the limit
                // the process would use more than twice that.
                assertTrue(usedSeconds <= 0.3 * (elapsedSeconds + 0.2), usedSeconds + " of " + elapsedSeconds);
                assertTrue(usedSeconds > 0, "it was stopped for good");
            }
            // The process runs again, whether or not it was stopped when the limiter closed.
            long usedAfterNanos = CpuLimiter.cpuNanos(busy.pid());
            for (int i = 0; i < 20_000 && CpuLimiter.cpuNanos(busy.pid()) == usedAfterNanos; i++) {
                Thread.sleep(1);
            }
            assertTrue(CpuLimiter.cpuNanos(busy.pid()) > usedAfterNanos);
        } finally {
            busy.destroyForcibly().waitFor();
        }
        assertEquals(-1, CpuLimiter.cpuNanos(busy.pid()));
    }
}
