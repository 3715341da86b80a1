package burlarch.lab.load;

import burlarch.audit.Sink;
import burlarch.standins.net.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Open-loop load generator: sends each request at its scheduled time without waiting for earlier responses. The
 * schedule is fixed before the run starts. An instance serves one run.
 */
public final class LoadGenerator implements AutoCloseable {
    /** Delay between creating the workers and sending the first request. */
    private static final long START_DELAY_NANOS = 20_000_000;
    /** Interval between initial connections, long enough that no listener's accept queue overflows. */
    static final long CONNECT_INTERVAL_NANOS = 200_000;

    private static final long WARM_UP_TIMEOUT_S = 20;

    /** A proxy and the address at which clients reach it. */
    public record Target(String proxy, InetSocketAddress address) {}

    private final LoadPlan plan;
    private final RequestSource source;
    private final EventLoopGroup group;
    private final List<Worker> workers = new ArrayList<>();
    private final List<EventLoop> loops = new ArrayList<>();
    private final CountDownLatch running;
    private final long startNanos;

    private LoadGenerator(LoadPlan plan, RequestSource source, List<Target> targets, Sink sink, LongSupplier clock)
            throws IOException {
        this.plan = plan;
        this.source = source;
        this.group = Transport.group(plan.threads(), "burlarch-load");
        this.running = new CountDownLatch(plan.threads());
        SslContext tls = plan.tls() ? tls(plan.tlsCa()) : null;
        this.startNanos = clock.getAsLong() + START_DELAY_NANOS + plan.initialConnections() * CONNECT_INTERVAL_NANOS;
        for (int i = 0; i < plan.threads(); i++) {
            EventLoop loop = group.next();
            int workerIndex = i;
            loops.add(loop);
            workers.add(loop.submit(() -> new Worker(
                            plan,
                            source,
                            targets,
                            loop,
                            clock,
                            sink,
                            tls,
                            workerIndex,
                            plan.threads(),
                            startNanos,
                            running::countDown))
                    .syncUninterruptibly()
                    .getNow());
        }
    }

    /**
     * Verifies the certificate chain but not the host name: the certificate carries the service's name, and
     * connections go to loopback.
     */
    private static SslContext tls(Path caFile) throws IOException {
        SslContextBuilder builder = SslContextBuilder.forClient().endpointIdentificationAlgorithm(null);
        try {
            return (caFile == null ? builder : builder.trustManager(caFile.toFile())).build();
        } catch (IllegalArgumentException e) {
            throw new IOException("client_tls.ca_file " + caFile + ": expected certificates in PEM format", e);
        }
    }

    /**
     * Starts sending the planned load.
     *
     * @throws IOException if the replayed trace or the CA file cannot be read
     */
    public static LoadGenerator start(LoadPlan plan, List<Target> targets, Sink sink) throws IOException {
        return start(plan, targets, sink, System::nanoTime);
    }

    /** @param clock monotonic clock in nanoseconds; a run whose clock jumps is reported as invalid */
    static LoadGenerator start(LoadPlan plan, List<Target> targets, Sink sink, LongSupplier clock) throws IOException {
        LoadGenerator generator = new LoadGenerator(plan, RequestSource.of(plan), targets, sink, clock);
        for (int i = 0; i < generator.workers.size(); i++) {
            generator.loops.get(i).execute(generator.workers.get(i)::openInitialConnections);
            generator.loops.get(i).execute(generator.workers.get(i)::sendDueRequests);
        }
        return generator;
    }

    /**
     * Runs a short load of the same kind against a {@link NullServer}, so that class loading and JIT compilation
     * do not distort the first second of the measured run. Returns when the warm-up has ended.
     */
    public static void warmUp(LoadPlan plan) throws IOException, InterruptedException {
        if (plan.warmUpSeconds() <= 0) {
            return;
        }
        LoadPlan warmUpPlan = plan.forWarmUp();
        try (NullServer server = new NullServer(1);
                LoadGenerator generator =
                        start(warmUpPlan, List.of(new Target("warm-up", server.address())), Sink.NONE)) {
            generator.await((long) plan.warmUpSeconds() + WARM_UP_TIMEOUT_S, TimeUnit.SECONDS);
            generator.result().figures();
        }
    }

    /** Writes the plan's requests to a trace file without sending any. */
    public static void record(LoadPlan plan, Path file) throws IOException {
        RequestSource.record(plan, RequestSource.of(plan), file);
    }

    /** Number of requests in the plan. */
    public int planned() {
        return source.count();
    }

    /** Clock time in nanoseconds at which the schedule starts. */
    public long startNanos() {
        return startNanos;
    }

    /** Event loop of a worker; tests block it to delay the generator. */
    EventLoop loop(int worker) {
        return loops.get(worker);
    }

    /**
     * Waits for the run to end.
     *
     * @return whether it ended within the given time
     */
    public boolean await(long time, TimeUnit unit) throws InterruptedException {
        return running.await(time, unit);
    }

    /** Stops sending; outstanding requests are still awaited. */
    public void stop() {
        for (int i = 0; i < workers.size(); i++) {
            try {
                loops.get(i).execute(workers.get(i)::stop);
            } catch (RejectedExecutionException e) {
                return; // The run has ended.
            }
        }
    }

    /** Returns a snapshot of the merged statistics, during the run or after it. */
    public LoadResult result() {
        LoadStatistics total =
                new LoadStatistics(plan.classes().size(), plan.tenants().size());
        for (int i = 0; i < workers.size(); i++) {
            Worker worker = workers.get(i);
            loops.get(i)
                    .submit(() -> {
                        synchronized (total) {
                            total.add(worker.statistics);
                        }
                    })
                    .syncUninterruptibly();
        }
        return new LoadResult(plan, total, source.count());
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).awaitUninterruptibly(2000);
    }
}
