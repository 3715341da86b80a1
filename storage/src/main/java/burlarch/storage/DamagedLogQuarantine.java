package burlarch.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Sets a damaged log aside, so that its disk counts as empty. An acceptor then starts under a new identity, without a
 * vote, and is admitted like any acceptor that restarts with an empty disk. The damaged segments stay on the disk
 * under other names for the operator; those of an earlier quarantine are removed.
 *
 * <p><b>Atomicity.</b> A marker file is durable before the first segment is touched, and is removed after the last
 * segment is removed. While the marker exists, {@link #finish} resumes the quarantine, so that an older segment that
 * is still present is never opened as the newest.
 *
 * <p>Used by one thread at a time; every method may block on the disk, and may be retried after an
 * {@link IOException}.
 */
public final class DamagedLogQuarantine {
    private static final String MARKER = "quarantine";
    private static final String PREFIX = "damaged-";
    private static final int COPY_BUFFER_BYTES = 64 * 1024;

    private final Disk disk;

    /** Creates the quarantine of a disk; nothing changes until {@link #begin} or {@link #finish}. */
    public DamagedLogQuarantine(Disk disk) {
        this.disk = disk;
    }

    /** Sets all segments aside, or resumes a quarantine that has begun. */
    public void begin() throws IOException {
        if (!hasMarker()) {
            removeFilesOfEarlierQuarantine();
            DiskFile marker = disk.create(MARKER);
            try {
                marker.force();
            } finally {
                marker.close();
            }
            disk.syncDirectory();
        }
        finish();
    }

    /** Resumes a quarantine that was interrupted by the end of the process; does nothing if there is none. */
    public void finish() throws IOException {
        if (!hasMarker()) {
            return;
        }
        List<String> segments = segments();
        for (String segment : segments) {
            disk.remove(PREFIX + segment);
            copy(segment, PREFIX + segment);
        }
        for (String segment : segments) {
            disk.remove(segment);
        }
        disk.syncDirectory();
        disk.remove(MARKER);
        disk.syncDirectory();
    }

    private boolean hasMarker() throws IOException {
        return disk.listFiles().contains(MARKER);
    }

    private List<String> segments() throws IOException {
        return disk.listFiles().stream()
                .filter(name -> SegmentFileName.parseNumber(name).isPresent())
                .sorted()
                .toList();
    }

    private void removeFilesOfEarlierQuarantine() throws IOException {
        for (String name : disk.listFiles()) {
            if (name.startsWith(PREFIX)) {
                disk.remove(name);
            }
        }
    }

    private void copy(String from, String to) throws IOException {
        DiskFile source = disk.open(from);
        try {
            DiskFile target = disk.create(to);
            try {
                copy(source, target);
                target.force();
            } finally {
                target.close();
            }
        } finally {
            source.close();
        }
    }

    private static void copy(DiskFile source, DiskFile target) throws IOException {
        long sizeBytes = source.sizeBytes();
        for (long position = 0; position < sizeBytes; position += COPY_BUFFER_BYTES) {
            ByteBuffer bytes = ByteBuffer.allocate((int) Math.min(COPY_BUFFER_BYTES, sizeBytes - position));
            source.read(position, bytes);
            target.write(position, bytes.flip());
        }
    }
}
