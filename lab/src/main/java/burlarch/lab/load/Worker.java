package burlarch.lab.load;

import burlarch.audit.Sink;
import burlarch.standins.model.SeededRandom;
import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * One event loop of the load generator: sends its part of the schedule at the due times, whatever the state of
 * earlier requests. Confined to its event loop.
 */
final class Worker {
    /**
     * When the next request is due sooner than this, the worker polls instead of sleeping, because a sleep may
     * overrun by a millisecond.
     */
    private static final long POLL_NANOS = 1_500_000;

    private static final long EXPIRY_CHECK_NANOS = 5_000_000;
    /** Maximum number of requests sent before the loop handles its sockets again. */
    private static final int MAX_BURST_REQUESTS = 64;

    private final LoadPlan plan;
    private final RequestSource source;
    private final EventLoop loop;
    private final LongSupplier clock;
    private final int step;
    private final List<ConnectionPool> pools;
    private final RequestTracker tracker;
    private final RetryQueue retries;
    private final MultiGetBatcher batcher;
    final LoadStatistics statistics;
    private final Future<?> expiryCheck;
    private final long startNanos;
    private final Runnable onFinished;
    private int nextNumber;
    private int sendTimerNumber;
    private boolean stopped;
    private boolean finished;

    /** @param first number of its first request; it sends every {@code step}-th request from there */
    Worker(
            LoadPlan plan,
            RequestSource source,
            List<LoadGenerator.Target> targets,
            EventLoop loop,
            LongSupplier clock,
            Sink sink,
            SslContext tls,
            int first,
            int step,
            long startNanos,
            Runnable onFinished) {
        this.plan = plan;
        this.source = source;
        this.loop = loop;
        this.clock = clock;
        this.nextNumber = first;
        this.step = step;
        this.startNanos = startNanos;
        this.onFinished = onFinished;
        this.statistics =
                new LoadStatistics(plan.classes().size(), plan.tenants().size());
        this.tracker = new RequestTracker(plan, loop, clock, sink, statistics, this::onComplete);
        this.retries = new RetryQueue(plan, source, startNanos);
        this.batcher = new MultiGetBatcher(plan, loop);
        int maxConnections = Math.max(1, plan.maxConnections() / Math.max(1, step * targets.size()));
        ClientConnection.Factory factory =
                new ClientConnection.Factory(loop, tls, new RequestEncoder(plan), clock, statistics);
        this.pools = targets.stream()
                .map(target -> new ConnectionPool(target, factory, maxConnections))
                .toList();
        this.expiryCheck =
                loop.scheduleWithFixedDelay(this::expire, EXPIRY_CHECK_NANOS, EXPIRY_CHECK_NANOS, TimeUnit.NANOSECONDS);
    }

    /** Opens the initial connections, spaced over time, before the first request. */
    void openInitialConnections() {
        int connectionsPerPool = plan.initialConnections() / Math.max(1, step * pools.size());
        for (int i = 0; i < connectionsPerPool; i++) {
            for (ConnectionPool pool : pools) {
                loop.schedule(
                        pool::openIdleConnection,
                        i * LoadGenerator.CONNECT_INTERVAL_NANOS * step * pools.size(),
                        TimeUnit.NANOSECONDS);
            }
        }
    }

    /** Sends the requests that are due and schedules itself for the next one. */
    void sendDueRequests() {
        if (finished) {
            return;
        }
        long nowNanos = clock.getAsLong();
        int sent = 0;
        long dueNanos = nextDue();
        while (dueNanos <= nowNanos && sent++ < MAX_BURST_REQUESTS) {
            send(takeNext(nowNanos, dueNanos));
            dueNanos = nextDue();
        }
        if (dueNanos == Long.MAX_VALUE) {
            checkFinished();
        } else {
            scheduleSend(dueNanos - nowNanos - POLL_NANOS);
        }
    }

    /** Takes the next request of the schedule, or a retry that is due before it. */
    private PlannedRequest takeNext(long nowNanos, long dueNanos) {
        PlannedRequest retry = retries.peek();
        if (retry != null && (scheduleIsOver() || retry.dueNanos() <= source.dueNanos(nextNumber))) {
            return retries.poll();
        }
        PlannedRequest planned = source.request(nextNumber);
        nextNumber += step;
        statistics.lag.recordValue(
                Math.min(statistics.lag.getHighestTrackableValue(), Math.max(0, nowNanos - dueNanos)));
        return planned;
    }

    private boolean scheduleIsOver() {
        return stopped || nextNumber >= source.count();
    }

    /**
     * Schedules the next send with a timer even if it is due now: tasks passed to {@code execute} run until none
     * is left before the loop handles its sockets. Only the most recently set timer takes effect.
     */
    private void scheduleSend(long delayNanos) {
        int timerNumber = ++sendTimerNumber;
        loop.schedule(
                () -> {
                    if (timerNumber == sendTimerNumber) {
                        sendDueRequests();
                    }
                },
                Math.max(1, delayNanos),
                TimeUnit.NANOSECONDS);
    }

    private long nextDue() {
        long dueNanos = scheduleIsOver() ? Long.MAX_VALUE : startNanos + source.dueNanos(nextNumber);
        PlannedRequest retry = retries.peek();
        return retry == null ? dueNanos : Math.min(dueNanos, startNanos + retry.dueNanos());
    }

    private void send(PlannedRequest planned) {
        long hash = Long.parseUnsignedLong(planned.id(), 16);
        ConnectionPool pool = pools.get((int) Long.remainderUnsigned(SeededRandom.mix(hash), pools.size()));
        PendingRequest request = new PendingRequest(planned, pool, startNanos + planned.dueNanos(), tracker);
        tracker.add(request);
        if (isBatchable(planned)) {
            batcher.add(request);
        } else {
            pool.dispatch(request);
        }
    }

    private boolean isBatchable(PlannedRequest planned) {
        return plan.batch() > 0
                && !planned.write()
                && plan.classes().get(planned.requestClass()).name().equals(RequestEncoder.MULTI_GET_CLASS);
    }

    private void onComplete(PendingRequest request, RequestResult result, long nowNanos) {
        if (retries.offer(request, result, nowNanos)) {
            scheduleSend(0);
        }
    }

    private void expire() {
        tracker.expire();
        checkFinished();
    }

    private void checkFinished() {
        if (!finished && tracker.isEmpty() && nextDue() == Long.MAX_VALUE) {
            finished = true;
            expiryCheck.cancel(false);
            pools.forEach(ConnectionPool::close);
            onFinished.run();
        }
    }

    /** Stops sending; outstanding requests are still awaited. */
    void stop() {
        stopped = true;
        retries.stop();
        checkFinished();
    }
}
