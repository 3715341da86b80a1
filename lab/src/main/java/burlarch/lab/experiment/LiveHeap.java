package burlarch.lab.experiment;

import java.io.IOException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What is alive on a Java process's heap: the JDK's own {@code jcmd} has it collect and say what is left.
 * The process stands still for the collection, so that it is asked for by those who want it.
 */
final class LiveHeap {
    private static final Pattern USED = Pattern.compile("used (\\d+)K");

    private LiveHeap() {}

    /** @return kilobytes @throws IOException where it can't be had, with what was said instead */
    static long kilobytes(long pid) throws IOException, InterruptedException {
        JdkTool.run("jcmd", Long.toString(pid), "GC.run");
        String info = JdkTool.run("jcmd", Long.toString(pid), "GC.heap_info");
        // The generations of the serial collector, and before them no total.
        long sum = 0;
        boolean found = false;
        for (String line : info.lines().toList()) {
            Matcher used = USED.matcher(line);
            if (line.contains("generation") && used.find()) {
                sum += Long.parseLong(used.group(1));
                found = true;
            }
        }
        if (!found) {
            throw new IOException("the heap of process " + pid + " is not to be read: " + info);
        }
        return sum;
    }
}
