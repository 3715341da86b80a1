package burlarch.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Sets a damaged log aside, so that its disk counts as empty. An acceptor then starts under a new identity, without a
 * vote, and is admitted like any other that came back with an empty disk. The damaged segments stay on the disk under
 * other names for the operator; those of an earlier quarantine are removed.
 *
 * <p><b>All or nothing.</b> A marker file is durable before the first segment is touched, and is removed after the last
 * one is gone. While it exists, {@link #finish} goes on: an older segment that was still there is never opened as if it
 * were the newest.
 *
 * <p>One thread at a time; every method may block on the disk, and may be tried again after an {@link IOException}.
 */
public final class DamagedLogQuarantine {
    private static final String MARKER = "quarantine";
    private static final String PREFIX = "damaged-";
    private static final int COPY_BUFFER_BYTES = 64 * 1024;

    private final Disk disk;

    /** The quarantine of a disk. */
    public DamagedLogQuarantine(Disk disk) {
        this.disk = disk;
    }

    /** Sets all segments aside. */
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

    /** Goes on with a quarantine that a process began and did not end; does nothing if there is none. */
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
