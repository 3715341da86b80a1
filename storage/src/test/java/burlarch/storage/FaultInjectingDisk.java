package burlarch.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * An in-memory disk that loses power at a chosen operation, or refuses a range of operations with an
 * {@link IOException}. The content that survives a power failure is drawn at random from what {@link Disk} permits.
 * Only calls that change the disk count as operations; reads do not.
 */
final class FaultInjectingDisk implements Disk {
    /** Thrown by the operation in which the power fails; simulates the end of the process. */
    static final class PowerLoss extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /** Number of operations so far. */
    int operations;
    /** Number of the operation in which the power fails; 0 for none. */
    int losePowerAtOperation;
    /** Number of the first operation that is refused; 0 for none. */
    int refuseFromOperation;
    /** Number of the first operation after those that are refused. */
    int refuseUntilOperation;

    private final Random random;
    private final Map<String, FaultInjectingFile> files = new TreeMap<>();
    private final Map<String, FaultInjectingFile> removedWithoutSync = new TreeMap<>();

    FaultInjectingDisk(long seed) {
        this(new Random(seed));
    }

    private FaultInjectingDisk(Random random) {
        this.random = random;
    }

    /** Returns the disk as found after the power failure. */
    FaultInjectingDisk afterPowerLoss() {
        FaultInjectingDisk surviving = new FaultInjectingDisk(random);
        removedWithoutSync.forEach((name, file) -> {
            if (random.nextBoolean()) {
                surviving.files.put(name, file.afterPowerLoss(random));
            }
        });
        files.forEach((name, file) -> {
            if (file.entryIsDurable || random.nextBoolean()) {
                surviving.files.put(name, file.afterPowerLoss(random));
            }
        });
        return surviving;
    }

    long totalBytes() {
        return files.values().stream()
                .mapToLong(file -> file.visibleContent.length)
                .sum();
    }

    void startRefusing() {
        refuseFromOperation = operations + 1;
        refuseUntilOperation = Integer.MAX_VALUE;
    }

    void stopRefusing() {
        refuseFromOperation = 0;
    }

    @Override
    public List<String> listFiles() {
        return new ArrayList<>(files.keySet());
    }

    @Override
    public DiskFile create(String name) throws IOException {
        if (files.containsKey(name)) {
            throw new IOException("file exists already: " + name);
        }
        performOrFail(() -> files.put(name, new FaultInjectingFile()), null);
        return open(name);
    }

    @Override
    public DiskFile open(String name) throws IOException {
        FaultInjectingFile file = files.get(name);
        if (file == null) {
            throw new IOException("file does not exist: " + name);
        }
        return new Handle(file);
    }

    @Override
    public void remove(String name) throws IOException {
        performOrFail(
                () -> {
                    FaultInjectingFile file = files.remove(name);
                    if (file != null && file.entryIsDurable) {
                        removedWithoutSync.put(name, file);
                    }
                },
                null);
    }

    @Override
    public void syncDirectory() throws IOException {
        performOrFail(
                () -> {
                    removedWithoutSync.clear();
                    files.values().forEach(file -> file.entryIsDurable = true);
                },
                null);
    }

    /**
     * Performs an operation. If it is to fail, performs it in part, completely or not at all and throws an exception;
     * {@code partOfOperation} is null if the operation cannot be performed in part.
     */
    private void performOrFail(Runnable operation, Runnable partOfOperation) throws IOException {
        operations++;
        boolean powerFails = operations == losePowerAtOperation;
        boolean isRefused =
                refuseFromOperation > 0 && operations >= refuseFromOperation && operations < refuseUntilOperation;
        if (!powerFails && !isRefused) {
            operation.run();
            return;
        }
        if (partOfOperation != null && random.nextBoolean()) {
            partOfOperation.run();
        } else if (powerFails && random.nextBoolean()) {
            operation.run();
        }
        if (powerFails) {
            throw new PowerLoss();
        }
        throw new IOException("refused");
    }

    private final class Handle implements DiskFile {
        private final FaultInjectingFile file;

        Handle(FaultInjectingFile file) {
            this.file = file;
        }

        @Override
        public long sizeBytes() {
            return file.visibleContent.length;
        }

        @Override
        public void read(long position, ByteBuffer into) throws IOException {
            if (position + into.remaining() > file.visibleContent.length) {
                throw new EOFException();
            }
            into.put(file.visibleContent, (int) position, into.remaining());
        }

        @Override
        public void write(long position, ByteBuffer from) throws IOException {
            byte[] bytes = new byte[from.remaining()];
            from.get(bytes);
            byte[] writtenPart = Arrays.copyOf(bytes, random.nextInt(bytes.length));
            performOrFail(() -> file.write((int) position, bytes), () -> file.write((int) position, writtenPart));
        }

        @Override
        public void truncate(long sizeBytes) throws IOException {
            performOrFail(() -> file.truncate((int) sizeBytes), null);
        }

        @Override
        public void force() throws IOException {
            performOrFail(file::force, () -> file.failForce(random));
        }

        @Override
        public void close() {}
    }
}
