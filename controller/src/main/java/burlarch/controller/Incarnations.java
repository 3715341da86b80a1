package burlarch.controller;

import java.security.SecureRandom;

/** Numbers that tell the starts of processes apart, and names that hold them. */
final class Incarnations {
    private Incarnations() {}

    /** A new one; never 0. */
    static long draw() {
        long drawn = new SecureRandom().nextLong();
        return drawn == 0 ? 1 : drawn;
    }

    static String text(long incarnation) {
        return Long.toHexString(incarnation);
    }

    /** Name of one start of a process, unique in the fleet. */
    static String processName(String nodeName, String incarnation) {
        return nodeName + "-" + incarnation;
    }

    /** The incarnation in a name that {@link #processName} made. */
    static String ofProcessName(String name) {
        return name.substring(name.lastIndexOf('-') + 1);
    }
}
