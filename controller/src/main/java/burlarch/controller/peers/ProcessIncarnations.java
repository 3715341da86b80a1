package burlarch.controller.peers;

import java.security.SecureRandom;

/** Numbers that tell the starts of processes apart, and names that hold them. */
public final class ProcessIncarnations {
    private ProcessIncarnations() {}

    /** A new one; never 0. */
    public static long generate() {
        long drawn = new SecureRandom().nextLong();
        return drawn == 0 ? 1 : drawn;
    }

    public static String toText(long incarnation) {
        return Long.toHexString(incarnation);
    }

    /** Name of one start of a process, unique in the fleet. */
    public static String processName(String nodeName, String incarnation) {
        return nodeName + "-" + incarnation;
    }

    /** The incarnation in a name that {@link #processName} made. */
    public static String ofProcessName(String name) {
        return name.substring(name.lastIndexOf('-') + 1);
    }
}
