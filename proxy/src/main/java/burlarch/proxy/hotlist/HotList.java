package burlarch.proxy.hotlist;

import burlarch.proxy.Log;
import burlarch.proxy.RequestTable;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

/**
 * The keys that are asked for most, by class. Counts on the loop and copies there; what takes longer, the
 * sorting, formatting and writing, is the log's thread's to do.
 */
public final class HotList implements RequestTable.Observer {
    private final HotListSettings settings;
    private final LongSupplier nowNanos;
    private final Executor loop;
    private final List<String> classes;
    /** By the numbers of the classes. */
    private final List<SpaceSaving> summaries = new ArrayList<>();

    private final AtomicBoolean writing = new AtomicBoolean();

    public HotList(HotListSettings settings, List<String> classes, LongSupplier nowNanos, Executor loop) {
        this.settings = settings;
        this.classes = classes;
        this.nowNanos = nowNanos;
        this.loop = loop;
        for (int i = 0; i < classes.size(); i++) {
            summaries.add(new SpaceSaving(settings.capacity(), settings.halfLifeNanos()));
        }
    }

    /** Counts a request that was taken; one without a key asks for nothing in particular. */
    @Override
    public void taken(RequestTable.Arrival arrival) {
        if (arrival.keyed()) {
            summaries
                    .get(arrival.requestClass())
                    .add(HotKey.of(arrival.tenantName(), arrival.keyText(), arrival.key()), nowNanos.getAsLong());
        }
    }

    private List<HotListReport.Row> rows() {
        List<HotListReport.Row> rows = new ArrayList<>();
        for (int i = 0; i < summaries.size(); i++) {
            for (SpaceSaving.Entry entry : summaries.get(i).entries(nowNanos.getAsLong())) {
                rows.add(new HotListReport.Row(classes.get(i), entry));
            }
        }
        return rows;
    }

    /** Writes the list to the log, from any thread. One that is still being written is not written twice. */
    public void write() {
        if (!writing.compareAndSet(false, true)) {
            return;
        }
        try {
            loop.execute(() -> {
                List<HotListReport.Row> rows = rows();
                boolean taken = Log.block(() -> {
                    writing.set(false);
                    return HotListReport.text(rows, settings.show());
                });
                if (!taken) {
                    writing.set(false);
                }
            });
        } catch (RejectedExecutionException e) {
            Log.line("no hot list at the end of a drain");
        }
    }
}
