package burlarch.storage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * One file of a {@link FaultInjectingDisk}: the content visible to programs, the durable content, and the unsynced
 * changes between the two.
 */
final class FaultInjectingFile {
    private static final int SECTOR_BYTES = 16;

    /** A write of bytes, or a truncation if {@code bytes} is null. */
    private record Change(int position, byte[] bytes) {
        byte[] applyTo(byte[] content) {
            if (bytes == null) {
                return Arrays.copyOf(content, position);
            }
            byte[] next = Arrays.copyOf(content, Math.max(content.length, position + bytes.length));
            System.arraycopy(bytes, 0, next, position, bytes.length);
            return next;
        }
    }

    byte[] visibleContent = new byte[0];
    boolean entryIsDurable;
    private byte[] durableContent = new byte[0];
    private final List<Change> unsyncedChanges = new ArrayList<>();

    void write(int position, byte[] bytes) {
        change(new Change(position, bytes));
    }

    void truncate(int sizeBytes) {
        change(new Change(sizeBytes, null));
    }

    void force() {
        unsyncedChanges.clear();
        durableContent = visibleContent;
        entryIsDurable = true;
    }

    /**
     * Simulates a failed force: programs still see changes that may never reach the medium, not even by a later force.
     */
    void failForce(Random random) {
        durableContent = survivingContent(random);
        unsyncedChanges.clear();
    }

    /** Returns the file as found after a power failure. */
    FaultInjectingFile afterPowerLoss(Random random) {
        FaultInjectingFile surviving = new FaultInjectingFile();
        surviving.durableContent = random.nextInt(3) == 0 ? durableContent : survivingContent(random);
        surviving.visibleContent = surviving.durableContent;
        surviving.entryIsDurable = true;
        return surviving;
    }

    private void change(Change change) {
        visibleContent = change.applyTo(visibleContent);
        unsyncedChanges.add(change);
    }

    private byte[] survivingContent(Random random) {
        byte[] content = durableContent;
        for (Change change : unsyncedChanges) {
            int outcome = random.nextInt(4);
            if (outcome < 2) {
                content = change.applyTo(content);
            } else if (outcome == 2 && change.bytes() != null) {
                content = applySomeSectors(change, content, random);
            }
        }
        return content;
    }

    private static byte[] applySomeSectors(Change change, byte[] content, Random random) {
        byte[] next = content;
        for (int from = 0; from < change.bytes().length; from += SECTOR_BYTES) {
            if (random.nextBoolean()) {
                int to = Math.min(from + SECTOR_BYTES, change.bytes().length);
                byte[] sector = Arrays.copyOfRange(change.bytes(), from, to);
                next = new Change(change.position() + from, sector).applyTo(next);
            }
        }
        return next;
    }
}
