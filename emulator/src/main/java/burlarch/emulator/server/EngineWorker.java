package burlarch.emulator.server;

import burlarch.emulator.model.BatchModel;
import burlarch.emulator.model.Job;
import burlarch.emulator.model.KvMemory;
import burlarch.emulator.model.WeightsOrders;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Runs a batch in real time: waits for as long as each step takes, then hands its tokens out. */
final class EngineWorker extends Thread {
    private static final long LONGEST_SILENCE_SECONDS = 30;

    private final KvMemory memory;
    private final BatchModel model;
    private final WeightsOrders orders;
    private final KvCalls kvCalls;
    private final Map<String, Stream> streams = new HashMap<>();

    /** The tokens of one job, in order. */
    static final class Stream {
        private final BlockingQueue<BatchModel.Token> tokens = new LinkedBlockingQueue<>();

        BatchModel.Token next() throws InterruptedException {
            BatchModel.Token token = tokens.poll(LONGEST_SILENCE_SECONDS, TimeUnit.SECONDS);
            if (token == null) {
                throw new InterruptedException("the engine has ended");
            }
            return token;
        }
    }

    /** @param memory its lock guards all the others */
    EngineWorker(String name, KvMemory memory, BatchModel model, WeightsOrders orders, KvCalls kvCalls) {
        super("batch-" + name);
        setDaemon(true);
        this.memory = memory;
        this.model = model;
        this.orders = orders;
        this.kvCalls = kvCalls;
    }

    /** The stream of a job that is taken, or null. */
    Stream offer(Job job) {
        synchronized (memory) {
            finishOrder();
            if (orders.concerns(job.model())
                    || streams.containsKey(job.id())
                    || model.offer(job) != BatchModel.Offer.TAKEN) {
                return null;
            }
            Stream stream = new Stream();
            streams.put(job.id(), stream);
            memory.notifyAll();
            return stream;
        }
    }

    /** The job's caller has what it came for, or has left. */
    void cancel(Job job) {
        synchronized (memory) {
            if (streams.remove(job.id()) != null) {
                model.cancel(job.id());
            }
        }
    }

    /** Puts the order under way into force if its time is up. The caller holds the memory's lock. */
    void finishOrder() {
        String changed = orders.finish(System.nanoTime());
        if (changed != null) {
            memory.drop(changed);
            kvCalls.changed();
        }
    }

    @Override
    public void run() {
        try {
            while (true) {
                BatchModel.Step step;
                synchronized (memory) {
                    while (model.idle()) {
                        memory.wait();
                    }
                    finishOrder();
                    step = model.step();
                    kvCalls.changed();
                }
                TimeUnit.NANOSECONDS.sleep(step.durationNanos());
                handOut(step);
            }
        } catch (InterruptedException over) {
            Thread.currentThread().interrupt();
        }
    }

    private void handOut(BatchModel.Step step) {
        synchronized (memory) {
            for (BatchModel.Token token : step.tokens()) {
                Stream stream = streams.get(token.job().id());
                if (stream != null) {
                    stream.tokens.add(token);
                }
            }
        }
    }
}
