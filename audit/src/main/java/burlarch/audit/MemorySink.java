package burlarch.audit;

import java.util.ArrayList;
import java.util.List;

/** Keeps records in memory, up to a number; for tests and short runs. Any thread may write. */
public final class MemorySink implements Sink {
    private final int most;
    private final List<Asked> asked = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Told> told = new ArrayList<>();
    private final List<Started> started = new ArrayList<>();
    private final List<Ran> ran = new ArrayList<>();
    private int kept;
    private long leftOut;

    /** @param most records of all kinds that are kept */
    public MemorySink(int most) {
        this.most = most;
    }

    private <T> void keep(List<T> list, T record) {
        if (kept == most) {
            leftOut++;
        } else {
            kept++;
            list.add(record);
        }
    }

    @Override
    public synchronized void asked(Asked record) {
        keep(asked, record);
    }

    @Override
    public synchronized void attempt(Attempt record) {
        keep(attempts, record);
    }

    @Override
    public synchronized void told(Told record) {
        keep(told, record);
    }

    @Override
    public synchronized void started(Started record) {
        keep(started, record);
    }

    @Override
    public synchronized void ran(Ran record) {
        keep(ran, record);
    }

    /** A copy of all that is there now. */
    public synchronized Records records() {
        return new Records(List.copyOf(asked), List.copyOf(attempts), List.copyOf(told), List.copyOf(started),
                List.copyOf(ran), leftOut);
    }
}
