package burlarch.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The cap, on a process that would take a whole core. */
class CpuCapTest {
    @Test
    void aBusyProcessGetsItsPartAndGoesOnAfterwards() throws Exception {
        Process busy = new ProcessBuilder("/bin/sh", "-c", "while :; do :; done").start();
        try {
            long startNanos;
            long before;
            try (CpuCap cap = new CpuCap(0.3)) {
                cap.hold(busy.pid());
                startNanos = System.nanoTime();
                before = CpuCap.cpuNanos(busy.pid());
                TimeUnit.MILLISECONDS.sleep(2000);
                double seconds = (System.nanoTime() - startNanos) / 1e9;
                double used = (CpuCap.cpuNanos(busy.pid()) - before) / 1e9;
                // Its quota, and a period's on top for the one that has begun. Without a cap it is over twice
                // that.
                assertTrue(used <= 0.3 * (seconds + 0.2), used + " of " + seconds);
                assertTrue(used > 0, "it was stopped for good");
            }
            // Whatever state it was in, it runs now.
            long after = CpuCap.cpuNanos(busy.pid());
            for (int i = 0; i < 20_000 && CpuCap.cpuNanos(busy.pid()) == after; i++) {
                Thread.sleep(1);
            }
            assertTrue(CpuCap.cpuNanos(busy.pid()) > after);
        } finally {
            busy.destroyForcibly().waitFor();
        }
        assertEquals(-1, CpuCap.cpuNanos(busy.pid()));
    }
}
