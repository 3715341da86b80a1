package burlarch.controller.peers;

import burlarch.node.RandomIds;

/** Numbers that distinguish the starts of one process, and process names that contain them. Pure functions. */
public final class ProcessIncarnations {
    private static final char SEPARATOR = '-';

    private ProcessIncarnations() {}

    /** A new random incarnation; never 0. */
    public static long generate() {
        return RandomIds.nonZero();
    }

    /** The incarnation as it stands in messages and names: hexadecimal. */
    public static String toText(long incarnation) {
        return Long.toHexString(incarnation);
    }

    /** The name of one start of a process, unique in the fleet. */
    public static String processName(String nodeName, String incarnation) {
        return nodeName + SEPARATOR + incarnation;
    }

    /** The incarnation in a name that {@link #processName} made. */
    public static String ofProcessName(String name) {
        return name.substring(name.lastIndexOf(SEPARATOR) + 1);
    }
}
