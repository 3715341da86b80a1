package burlarch.storage;

import java.util.OptionalLong;

/**
 * Formats and parses the file names of segments: {@code segment-N}, where N is the number of the segment in decimal
 * digits.
 */
final class SegmentFileName {
    private static final String PREFIX = "segment-";

    private SegmentFileName() {}

    static String of(long number) {
        return PREFIX + number;
    }

    /** Returns the number in a segment's file name; empty for any other file. */
    static OptionalLong parseNumber(String fileName) {
        if (!fileName.startsWith(PREFIX)) {
            return OptionalLong.empty();
        }
        try {
            long number = Long.parseLong(fileName.substring(PREFIX.length()));
            return number >= 0 ? OptionalLong.of(number) : OptionalLong.empty();
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
