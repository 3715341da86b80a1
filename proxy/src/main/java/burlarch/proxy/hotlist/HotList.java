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
 * Tracks the most frequently requested keys of each request class. Requests are counted, and the counters copied, on
 * the event loop; sorting, formatting and writing take longer and run on the log thread.
 */
public final class HotList implements RequestTable.Observer {
    private final HotListSettings settings;
    private final LongSupplier clockNanos;
    private final Executor eventLoop;
    private final List<String> classes;
    /** Indexed by request class number. */
    private final List<SpaceSaving> summaries = new ArrayList<>();

    private final AtomicBoolean writing = new AtomicBoolean();

    public HotList(HotListSettings settings, List<String> classes, LongSupplier clockNanos, Executor eventLoop) {
        this.settings = settings;
        this.classes = classes;
        this.clockNanos = clockNanos;
        this.eventLoop = eventLoop;
        for (int i = 0; i < classes.size(); i++) {
            summaries.add(new SpaceSaving(settings.capacity(), settings.halfLifeNanos()));
        }
    }

    /** Counts an accepted request; requests without a key are not counted. */
    @Override
    public void requestAccepted(RequestTable.ClientRequest clientRequest) {
        if (clientRequest.keyed()) {
            summaries
                    .get(clientRequest.requestClass())
                    .add(
                            HotKey.of(clientRequest.tenantName(), clientRequest.keyText(), clientRequest.key()),
                            clockNanos.getAsLong());
        }
    }

    private List<HotListReport.Row> currentRows() {
        List<HotListReport.Row> rows = new ArrayList<>();
        for (int i = 0; i < summaries.size(); i++) {
            for (SpaceSaving.Entry entry : summaries.get(i).entries(clockNanos.getAsLong())) {
                rows.add(new HotListReport.Row(classes.get(i), entry));
            }
        }
        return rows;
    }

    /**
     * Writes the hot list to the log. Callable from any thread; does nothing while an earlier list is being written.
     */
    public void write() {
        if (!writing.compareAndSet(false, true)) {
            return;
        }
        try {
            eventLoop.execute(() -> {
                List<HotListReport.Row> rows = currentRows();
                boolean accepted = Log.enqueue(() -> {
                    writing.set(false);
                    return HotListReport.format(rows, settings.maxRows());
                });
                if (!accepted) {
                    writing.set(false);
                }
            });
        } catch (RejectedExecutionException e) {
            Log.line("hot list not written: the proxy has shut down its event loop");
        }
    }
}
