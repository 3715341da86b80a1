package burlarch.controller.peers;

import burlarch.node.RandomIds;

/**
 * Utility functions for incarnations, which are random numbers that distinguish the starts of one process, and for
 * process names that contain them.
 */
public final class ProcessIncarnations {
    private static final char SEPARATOR = '-';

    private ProcessIncarnations() {}

    /** A new random incarnation; never 0. */
    public static long generate() {
        return RandomIds.nonZero();
    }

    /** The hexadecimal form of an incarnation, as used in messages and names. */
    public static String toText(long incarnation) {
        return Long.toHexString(incarnation);
    }

    /** The name of one start of a process, unique in the fleet. */
    public static String processName(String nodeName, String incarnation) {
        return nodeName + SEPARATOR + incarnation;
    }

    /** Extracts the incarnation from a name that {@link #processName} returned. */
    public static String ofProcessName(String name) {
        return name.substring(name.lastIndexOf(SEPARATOR) + 1);
    }
}
