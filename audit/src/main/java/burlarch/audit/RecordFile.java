package burlarch.audit;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The text format of record files: one record a line, with fields separated by tabs. The first field names the
 * kind: {@code Q} for {@link ClientRequest}, {@code A} for {@link Attempt}, {@code T} for {@link MembershipUpdate},
 * {@code S} for {@link NodeStart}, {@code R} for {@link ProxyRun}. The last line has kind {@code E}, the number of
 * records in the file and the number of dropped records; a file without it is truncated.
 */
public final class RecordFile {
    private static final String END_KIND = "E";
    private static final String COMPLETE_MARKER = "whole";

    private RecordFile() {}

    /** Returns the line of a record, with its line break. */
    static String line(AuditRecord record) {
        if (record instanceof ClientRequest r) {
            return join(
                    "Q",
                    r.id(),
                    r.proxy(),
                    r.requestClass(),
                    r.write() ? "w" : "r",
                    r.sentNanos(),
                    r.timeoutNanos(),
                    r.endedNanos(),
                    r.end(),
                    r.status(),
                    Long.toHexString(r.bodyDigest()),
                    r.answers());
        }
        if (record instanceof Attempt r) {
            return join(
                    "A",
                    r.id(),
                    r.node(),
                    r.proxy(),
                    r.firstByteNanos(),
                    r.lastByteNanos(),
                    r.endedNanos(),
                    r.fate(),
                    r.workNanos(),
                    Long.toHexString(r.bodyDigest()));
        }
        if (record instanceof MembershipUpdate r) {
            return join("T", r.proxy(), r.node(), r.stage(), r.atNanos(), r.startedAtNanos());
        }
        if (record instanceof NodeStart r) {
            return join("S", r.node(), r.atNanos(), r.capacity(), r.coldShare(), r.coldNanos());
        }
        if (record instanceof ProxyRun r) {
            return join("R", r.proxy(), r.startedNanos(), r.killedNanos(), r.endedNanos());
        }
        throw new IllegalArgumentException("no line format for " + record.getClass());
    }

    /** Returns the end line of a complete file. */
    static String endLine(long written, long droppedRecords) {
        return join(END_KIND, written, droppedRecords, COMPLETE_MARKER);
    }

    private static String join(Object... fields) {
        StringBuilder line = new StringBuilder(96);
        for (Object field : fields) {
            if (line.length() > 0) {
                line.append('\t');
            }
            String text = field.toString();
            for (int i = 0; i < text.length(); i++) {
                // Ids come from the network: control characters in them must not create fields or lines.
                line.append(text.charAt(i) < ' ' ? '?' : text.charAt(i));
            }
        }
        return line.append('\n').toString();
    }

    /**
     * Reads all record files of one run.
     *
     * @throws IOException if a file is malformed or truncated; the message names the file and the line
     */
    public static Records read(List<Path> files) throws IOException {
        List<AuditRecord> records = new ArrayList<>();
        long droppedRecords = 0;
        for (Path file : files) {
            droppedRecords += read(file, records);
        }
        return Records.of(records, droppedRecords);
    }

    /** Adds the records of a file to {@code records} and returns how many the writer dropped. */
    private static long read(Path file, List<AuditRecord> records) throws IOException {
        int lineNumber = 0;
        long droppedRecords = -1;
        try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lineNumber++;
                String[] fields = line.split("\t", -1);
                if (fields[0].equals(END_KIND)) {
                    droppedRecords = parseEndLine(file, lineNumber, fields);
                } else {
                    records.add(record(fields));
                }
            }
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            throw new IOException(file + ": line " + lineNumber + ": invalid record: " + e.getMessage(), e);
        }
        if (droppedRecords < 0) {
            throw new IOException(file + ": truncated after line " + lineNumber);
        }
        return droppedRecords;
    }

    /** Returns how many records the writer dropped; -1 if the end line itself is truncated. */
    private static long parseEndLine(Path file, int lineNumber, String[] fields) throws IOException {
        if (Long.parseLong(fields[1]) != lineNumber - 1) {
            throw new IOException(file + ": line " + lineNumber + ": " + fields[1] + " records were written, "
                    + (lineNumber - 1) + " are here");
        }
        return fields[3].equals(COMPLETE_MARKER) ? Long.parseLong(fields[2]) : -1;
    }

    private static AuditRecord record(String[] fields) {
        return switch (fields[0]) {
            case "Q" -> new ClientRequest(
                    fields[1],
                    fields[2],
                    fields[3],
                    fields[4].equals("w"),
                    Long.parseLong(fields[5]),
                    Long.parseLong(fields[6]),
                    Long.parseLong(fields[7]),
                    ClientRequest.End.valueOf(fields[8]),
                    Integer.parseInt(fields[9]),
                    Long.parseUnsignedLong(fields[10], 16),
                    Integer.parseInt(fields[11]));
            case "A" -> new Attempt(
                    fields[1],
                    fields[2],
                    fields[3],
                    Long.parseLong(fields[4]),
                    Long.parseLong(fields[5]),
                    Long.parseLong(fields[6]),
                    Attempt.Fate.valueOf(fields[7]),
                    Long.parseLong(fields[8]),
                    Long.parseUnsignedLong(fields[9], 16));
            case "T" -> new MembershipUpdate(
                    fields[1],
                    fields[2],
                    MembershipUpdate.Stage.valueOf(fields[3]),
                    Long.parseLong(fields[4]),
                    Long.parseLong(fields[5]));
            case "S" -> new NodeStart(
                    fields[1],
                    Long.parseLong(fields[2]),
                    Double.parseDouble(fields[3]),
                    Double.parseDouble(fields[4]),
                    Long.parseLong(fields[5]));
            case "R" -> new ProxyRun(
                    fields[1], Long.parseLong(fields[2]), Long.parseLong(fields[3]), Long.parseLong(fields[4]));
            default -> throw new IllegalArgumentException("unknown kind of record");
        };
    }
}
