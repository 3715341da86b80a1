package burlarch.audit;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Records as lines of text, fields parted by tabs, the first a letter for the kind: {@code Q} asked, {@code
 * A} attempt, {@code T} told, {@code S} started, {@code R} ran, and at the end {@code E} with the number of
 * records in the file and of those left out. A file without that line was cut.
 */
public final class RecordFile {
    private RecordFile() {
    }

    static String line(Asked r) {
        return join("Q", r.id(), r.proxy(), r.requestClass(), r.write() ? "w" : "r", r.sentNanos(),
                r.timeoutNanos(), r.endedNanos(), r.end(), r.status(), Long.toHexString(r.bodyDigest()),
                r.answers());
    }

    static String line(Attempt r) {
        return join("A", r.id(), r.node(), r.proxy(), r.firstByteNanos(), r.wholeNanos(), r.endedNanos(),
                r.fate(),
                r.workNanos(), Long.toHexString(r.bodyDigest()));
    }

    static String line(Told r) {
        return join("T", r.proxy(), r.node(), r.stage(), r.atNanos(), r.startedAtNanos());
    }

    static String line(Started r) {
        return join("S", r.node(), r.atNanos(), r.capacity(), r.coldShare(), r.coldNanos());
    }

    static String line(Ran r) {
        return join("R", r.proxy(), r.startedNanos(), r.dyingNanos(), r.endedNanos());
    }

    static String end(long written, long leftOut) {
        return join("E", written, leftOut, "whole");
    }

    private static String join(Object... fields) {
        StringBuilder line = new StringBuilder(96);
        for (Object field : fields) {
            if (line.length() > 0) {
                line.append('\t');
            }
            String text = field.toString();
            for (int i = 0; i < text.length(); i++) {
                // An id comes from the wire: it must not make fields or lines of its own.
                line.append(text.charAt(i) < ' ' ? '?' : text.charAt(i));
            }
        }
        return line.append('\n').toString();
    }

    /**
     * Reads files of one run as one.
     *
     * @throws IOException naming file and line where one is not as written, or was cut
     */
    public static Records read(List<Path> files) throws IOException {
        List<Asked> asked = new ArrayList<>();
        List<Attempt> attempts = new ArrayList<>();
        List<Told> told = new ArrayList<>();
        List<Started> started = new ArrayList<>();
        List<Ran> ran = new ArrayList<>();
        long leftOut = 0;
        for (Path file : files) {
            int number = 0;
            long missing = -1;
            try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    number++;
                    String[] f = line.split("\t", -1);
                    switch (f[0]) {
                        case "Q" -> asked.add(new Asked(f[1], f[2], f[3], f[4].equals("w"),
                                Long.parseLong(f[5]),
                                Long.parseLong(f[6]), Long.parseLong(f[7]), Asked.End.valueOf(f[8]),
                                Integer.parseInt(f[9]), Long.parseUnsignedLong(f[10], 16),
                                Integer.parseInt(f[11])));
                        case "A" -> attempts.add(new Attempt(f[1], f[2], f[3], Long.parseLong(f[4]),
                                Long.parseLong(f[5]), Long.parseLong(f[6]), Attempt.Fate.valueOf(f[7]),
                                Long.parseLong(f[8]), Long.parseUnsignedLong(f[9], 16)));
                        case "T" -> told.add(new Told(f[1], f[2], Told.Stage.valueOf(f[3]),
                                Long.parseLong(f[4]),
                                Long.parseLong(f[5])));
                        case "S" -> started.add(new Started(f[1], Long.parseLong(f[2]),
                                Double.parseDouble(f[3]),
                                Double.parseDouble(f[4]), Long.parseLong(f[5])));
                        case "R" -> ran.add(new Ran(f[1], Long.parseLong(f[2]), Long.parseLong(f[3]),
                                Long.parseLong(f[4])));
                        case "E" -> {
                            if (Long.parseLong(f[1]) != number - 1) {
                                throw new IOException(file + ": line " + number + ": " + f[1]
                                        + " records were written, " + (number - 1) + " are here");
                            }
                            missing = f[3].equals("whole") ? Long.parseLong(f[2]) : -1;
                        }
                        default -> throw new IllegalArgumentException("no such kind");
                    }
                }
            } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                throw new IOException(file + ": line " + number + ": not a record: " + e.getMessage(), e);
            }
            if (missing < 0) {
                throw new IOException(file + ": cut after line " + number);
            }
            leftOut += missing;
        }
        return new Records(asked, attempts, told, started, ran, leftOut);
    }
}
