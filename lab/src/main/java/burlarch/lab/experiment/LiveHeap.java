package burlarch.lab.experiment;

import java.io.IOException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Measures the live heap of a Java process: {@code jcmd} triggers a full collection and reports the used heap. The
 * process pauses for the collection, so the measurement is optional.
 */
final class LiveHeap {
    private static final Pattern USED = Pattern.compile("used (\\d+)K");

    private LiveHeap() {}

    /**
     * @return live heap in kB
     * @throws IOException if it cannot be measured, with the output of jcmd
     */
    static long kilobytes(long pid) throws IOException, InterruptedException {
        JdkTool.run("jcmd", Long.toString(pid), "GC.run");
        String heapInfo = JdkTool.run("jcmd", Long.toString(pid), "GC.heap_info");
        // The serial collector reports each generation, without a total.
        long totalKb = 0;
        boolean found = false;
        for (String line : heapInfo.lines().toList()) {
            Matcher used = USED.matcher(line);
            if (line.contains("generation") && used.find()) {
                totalKb += Long.parseLong(used.group(1));
                found = true;
            }
        }
        if (!found) {
            throw new IOException("the heap of process " + pid + " cannot be read: " + heapInfo);
        }
        return totalKb;
    }
}
