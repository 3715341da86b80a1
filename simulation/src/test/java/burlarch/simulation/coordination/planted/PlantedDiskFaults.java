package burlarch.simulation.coordination.planted;

import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.storage.Disk;
import burlarch.storage.DiskFile;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Component overrides that each plant one loss of data on a disk. They rely on the names and the order of the files
 * of the real register storage.
 */
final class PlantedDiskFaults {
    private PlantedDiskFaults() {}

    /** Forwards all calls to the real implementation; subclasses override the faulty ones. */
    private static class ForwardingDisk implements Disk {
        private final Disk real;

        ForwardingDisk(Disk real) {
            this.real = real;
        }

        @Override
        public List<String> listFiles() throws IOException {
            return real.listFiles();
        }

        @Override
        public DiskFile create(String name) throws IOException {
            return real.create(name);
        }

        @Override
        public DiskFile open(String name) throws IOException {
            return real.open(name);
        }

        @Override
        public void remove(String name) throws IOException {
            real.remove(name);
        }

        @Override
        public void syncDirectory() throws IOException {
            real.syncDirectory();
        }
    }

    /** Forwards all calls to the real implementation; subclasses override the faulty ones. */
    private static class ForwardingFile implements DiskFile {
        private final DiskFile real;

        ForwardingFile(DiskFile real) {
            this.real = real;
        }

        @Override
        public long sizeBytes() throws IOException {
            return real.sizeBytes();
        }

        @Override
        public void read(long position, ByteBuffer into) throws IOException {
            real.read(position, into);
        }

        @Override
        public void write(long position, ByteBuffer from) throws IOException {
            real.write(position, from);
        }

        @Override
        public void truncate(long size) throws IOException {
            real.truncate(size);
        }

        @Override
        public void force() throws IOException {
            real.force();
        }

        @Override
        public void close() throws IOException {
            real.close();
        }
    }

    /** A snapshot replaces the records before it without having been synced. */
    static final class SnapshotNotSynced implements ComponentOverrides {
        @Override
        public Disk disk(String machine, Disk real) {
            return new ForwardingDisk(real) {
                @Override
                public DiskFile create(String name) throws IOException {
                    return new ForwardingFile(super.create(name)) {
                        private boolean written;

                        @Override
                        public void force() throws IOException {
                            if (written) {
                                super.force();
                            }
                            written = true;
                        }
                    };
                }
            };
        }
    }

    /** A snapshot lacks the change that triggered it: a restart reads the state before that change. */
    static final class SnapshotWithoutLastChange implements ComponentOverrides {
        /**
         * Size of one promise and one change with their copies. If the snapshot grew by more, it is kept.
         */
        private static final int MAX_BYTES_AFTER_SNAPSHOT = 4_000;

        private record Snapshot(String name, long size, String previousName, byte[] previousContent) {}

        private final Map<String, Snapshot> newestSnapshots = new HashMap<>();

        @Override
        public Disk disk(String machine, Disk real) {
            restorePreviousSegment(machine, real);
            return new ForwardingDisk(real) {
                @Override
                public DiskFile create(String name) throws IOException {
                    String previousName = listFiles().stream().findFirst().orElse(null);
                    byte[] previousContent = previousName == null ? null : content(real, previousName);
                    return new ForwardingFile(super.create(name)) {
                        private boolean recorded;

                        @Override
                        public void force() throws IOException {
                            super.force();
                            if (!recorded && previousContent != null) {
                                newestSnapshots.put(
                                        machine, new Snapshot(name, sizeBytes(), previousName, previousContent));
                            }
                            recorded = true;
                        }
                    };
                }
            };
        }

        /** Replaces the snapshot by the segment before it, unless too many bytes were written after the snapshot. */
        private void restorePreviousSegment(String machine, Disk real) {
            Snapshot snapshot = newestSnapshots.remove(machine);
            try {
                if (snapshot == null
                        || !real.listFiles().equals(List.of(snapshot.name))
                        || real.open(snapshot.name).sizeBytes() > snapshot.size + MAX_BYTES_AFTER_SNAPSHOT) {
                    return;
                }
                DiskFile previousSegment = real.create(snapshot.previousName);
                previousSegment.write(0, ByteBuffer.wrap(snapshot.previousContent));
                previousSegment.force();
                real.remove(snapshot.name);
                real.syncDirectory();
            } catch (IOException diskFull) {
                // The disk is full: the fault is not applied this time.
            }
        }
    }

    /** A restart loses the last record of the log and its copy. */
    static final class LosesLastRecord implements ComponentOverrides {
        private static final int HEADER_BYTES = 17;

        @Override
        public Disk disk(String machine, Disk real) {
            try {
                List<String> names = real.listFiles();
                if (names.size() == 1) {
                    int truncatedSize = lastPairOffset(ByteBuffer.wrap(content(real, names.get(0))));
                    DiskFile file = real.open(names.get(0));
                    file.truncate(truncatedSize);
                    file.force();
                }
            } catch (IOException diskFull) {
                // The disk is full: the fault is not applied this time.
            }
            return real;
        }

        /** Returns the offset of the second-last record, or 0 if the log has fewer than two records. */
        private static int lastPairOffset(ByteBuffer log) {
            int secondLastOffset = 0;
            int lastOffset = 0;
            int nextOffset = 0;
            while (nextOffset + HEADER_BYTES <= log.capacity()) {
                secondLastOffset = lastOffset;
                lastOffset = nextOffset;
                nextOffset += HEADER_BYTES + log.getInt(nextOffset);
            }
            return secondLastOffset;
        }
    }

    private static byte[] content(Disk disk, String name) throws IOException {
        DiskFile file = disk.open(name);
        ByteBuffer content = ByteBuffer.allocate((int) file.sizeBytes());
        file.read(0, content);
        return content.array();
    }
}
