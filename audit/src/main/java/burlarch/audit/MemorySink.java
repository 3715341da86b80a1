package burlarch.audit;

import java.util.ArrayList;
import java.util.List;

/**
 * A sink that keeps a bounded number of records in memory, for tests and short runs. Thread-safe: records beyond
 * the bound are dropped and counted.
 */
public final class MemorySink implements Sink {
    private final int capacity;
    private final List<AuditRecord> records = new ArrayList<>();
    private long droppedRecords;

    /** @param capacity maximum number of records kept, of all kinds together */
    public MemorySink(int capacity) {
        this.capacity = capacity;
    }

    @Override
    public synchronized void write(AuditRecord record) {
        if (records.size() == capacity) {
            droppedRecords++;
        } else {
            records.add(record);
        }
    }

    /** Returns a copy of the records kept so far. */
    public synchronized Records records() {
        return Records.of(records, droppedRecords);
    }
}
