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
 * The open-loop load generator: sends what is due when it is due, on a schedule that was fixed before and
 * waits for no answer. A run is for one use.
 */
public final class Generator implements AutoCloseable {
    /** From making the workers to the first request. */
    private static final long HEAD_START_NANOS = 20_000_000;
    /** What each connection that is opened first may take, so that no listener's queue overflows. */
    static final long OPENING_NANOS = 200_000;

    private static final long WARM_UP_PATIENCE_S = 20;

    /** A proxy, and where clients reach it. */
    public record Target(String proxy, InetSocketAddress address) {}

    private final LoadPlan plan;
    private final RequestSource source;
    private final EventLoopGroup group;
    private final List<Worker> workers = new ArrayList<>();
    private final List<EventLoop> loops = new ArrayList<>();
    private final CountDownLatch running;
    private final long startNanos;

    private Generator(LoadPlan plan, RequestSource source, List<Target> targets, Sink sink, LongSupplier clock)
            throws IOException {
        this.plan = plan;
        this.source = source;
        this.group = Transport.group(plan.threads(), "burlarch-load");
        this.running = new CountDownLatch(plan.threads());
        SslContext tls = plan.tls() ? tls(plan.tlsCa()) : null;
        this.startNanos = clock.getAsLong() + HEAD_START_NANOS + plan.openFirst() * OPENING_NANOS;
        for (int i = 0; i < plan.threads(); i++) {
            EventLoop loop = group.next();
            int first = i;
            loops.add(loop);
            workers.add(loop.submit(() -> new Worker(
                            plan,
                            source,
                            targets,
                            loop,
                            clock,
                            sink,
                            tls,
                            first,
                            plan.threads(),
                            startNanos,
                            running::countDown))
                    .syncUninterruptibly()
                    .getNow());
        }
    }

    /** The chain is verified and the name is not: it is the service's, and we are on loopback. */
    private static SslContext tls(Path authority) throws IOException {
        SslContextBuilder builder = SslContextBuilder.forClient().endpointIdentificationAlgorithm(null);
        try {
            return (authority == null ? builder : builder.trustManager(authority.toFile())).build();
        } catch (IllegalArgumentException e) {
            throw new IOException("client_tls.ca_file " + authority + ": not certificates in PEM", e);
        }
    }

    /**
     * Begins to send.
     *
     * @throws IOException where the trace or the authority's file can't be read
     */
    public static Generator start(LoadPlan plan, List<Target> targets, Sink sink) throws IOException {
        return start(plan, targets, sink, System::nanoTime);
    }

    /** @param clock must only advance; a run on one that jumps is found invalid */
    static Generator start(LoadPlan plan, List<Target> targets, Sink sink, LongSupplier clock) throws IOException {
        Generator generator = new Generator(plan, RequestSource.of(plan), targets, sink, clock);
        for (int i = 0; i < generator.workers.size(); i++) {
            generator.loops.get(i).execute(generator.workers.get(i)::openFirst);
            generator.loops.get(i).execute(generator.workers.get(i)::pump);
        }
        return generator;
    }

    /**
     * Runs a short load of the same kind against a server that answers at once, so that the first second of
     * the real one does not measure how this program is loaded and compiled. Returns when it is over.
     */
    public static void warmUp(LoadPlan plan) throws IOException, InterruptedException {
        if (plan.warmUpSeconds() <= 0) {
            return;
        }
        LoadPlan warm = plan.forWarmUp();
        try (NullServer server = new NullServer(1);
                Generator generator = start(warm, List.of(new Target("warm-up", server.address())), Sink.NONE)) {
            generator.await((long) plan.warmUpSeconds() + WARM_UP_PATIENCE_S, TimeUnit.SECONDS);
            generator.result().figures();
        }
    }

    /** Writes the plan's requests to a trace, without sending any. */
    public static void record(LoadPlan plan, Path file) throws IOException {
        RequestSource.record(plan, RequestSource.of(plan), file);
    }

    /** How many requests the plan has. */
    public int planned() {
        return source.count();
    }

    /** The clock's time at which the schedule begins. */
    public long startNanos() {
        return startNanos;
    }

    /** For tests that starve the generator. */
    EventLoop loop(int worker) {
        return loops.get(worker);
    }

    /** @return whether it was over within that time */
    public boolean await(long time, TimeUnit unit) throws InterruptedException {
        return running.await(time, unit);
    }

    /** Sends nothing more; what is out is still waited for. */
    public void stop() {
        for (int i = 0; i < workers.size(); i++) {
            try {
                loops.get(i).execute(workers.get(i)::stop);
            } catch (RejectedExecutionException e) {
                return; // It is over.
            }
        }
    }

    /** What has been counted so far, or at the end. */
    public LoadResult result() {
        LoadStatistics sum =
                new LoadStatistics(plan.classes().size(), plan.tenants().size());
        for (int i = 0; i < workers.size(); i++) {
            Worker worker = workers.get(i);
            loops.get(i)
                    .submit(() -> {
                        synchronized (sum) {
                            sum.add(worker.statistics);
                        }
                    })
                    .syncUninterruptibly();
        }
        return new LoadResult(plan, sum, source.count());
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).awaitUninterruptibly(2000);
    }
}
