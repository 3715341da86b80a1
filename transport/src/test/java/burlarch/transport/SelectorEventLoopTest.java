package burlarch.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the order of tasks and timers, and that failures of one do not affect others. */
@Timeout(20)
class SelectorEventLoopTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SelectorEventLoop loop = new SelectorEventLoop("loop-test");

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void tasksOfOneThreadRunInOrderOnTheLoop() throws Exception {
        List<Integer> order = new ArrayList<>();
        CompletableFuture<Boolean> onLoop = new CompletableFuture<>();
        for (int i = 0; i < 1_000; i++) {
            int number = i;
            loop.execute(() -> order.add(number));
        }
        loop.execute(() -> onLoop.complete(loop.inEventLoop()));
        assertThat(onLoop.get(10, TimeUnit.SECONDS)).isTrue();
        assertThat(order)
                .containsExactlyElementsOf(IntStream.range(0, 1_000).boxed().toList());
    }

    @Test
    void tasksOfManyThreadsAllRun() throws Exception {
        int threads = 8;
        int tasksPerThread = 2_000;
        CountDownLatch remainingTasks = new CountDownLatch(threads * tasksPerThread);
        for (int i = 0; i < threads; i++) {
            new Thread(() -> {
                        for (int task = 0; task < tasksPerThread; task++) {
                            loop.execute(remainingTasks::countDown);
                        }
                    })
                    .start();
        }
        assertThat(remainingTasks.await(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void throwingTaskDoesNotEndTheLoop() throws Exception {
        CompletableFuture<String> laterTask = new CompletableFuture<>();
        loop.execute(() -> {
            throw new IllegalStateException("meant to be thrown by a test");
        });
        loop.schedule(0, () -> {
            throw new StackOverflowError("meant to be thrown by a test");
        });
        loop.schedule(NANOS_PER_MILLI, () -> laterTask.complete("ran"));
        assertThat(laterTask.get(10, TimeUnit.SECONDS)).isEqualTo("ran");
    }

    @Test
    void timersRunInOrderOfDueTimesAndNeverEarly() throws Exception {
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        CompletableFuture<Long> last = new CompletableFuture<>();
        long start = loop.nanoTime();
        loop.execute(() -> {
            loop.schedule(30 * NANOS_PER_MILLI, () -> last.complete(loop.nanoTime()));
            loop.schedule(20 * NANOS_PER_MILLI, () -> order.add("second"));
            loop.schedule(10 * NANOS_PER_MILLI, () -> order.add("first"));
            loop.schedule(20 * NANOS_PER_MILLI, () -> order.add("third"));
        });
        assertThat(last.get(10, TimeUnit.SECONDS) - start).isGreaterThanOrEqualTo(30 * NANOS_PER_MILLI);
        assertThat(order).containsExactly("first", "second", "third");
    }

    @Test
    void cancelledTimerNeverRuns() throws Exception {
        List<String> ran = Collections.synchronizedList(new ArrayList<>());
        CompletableFuture<Boolean> last = new CompletableFuture<>();
        EventLoop.Timer timerOfOtherThread = loop.schedule(20 * NANOS_PER_MILLI, () -> ran.add("elsewhere"));
        timerOfOtherThread.cancel();
        loop.execute(
                () -> loop.schedule(20 * NANOS_PER_MILLI, () -> ran.add("loop")).cancel());
        loop.schedule(40 * NANOS_PER_MILLI, () -> last.complete(true));
        assertThat(last.get(10, TimeUnit.SECONDS)).isTrue();
        assertThat(ran).isEmpty();
    }

    @Test
    void closeEndsTheThreadAndDropsLaterTasks() throws Exception {
        loop.close();
        loop.join(10_000);
        CompletableFuture<Boolean> lateTask = new CompletableFuture<>();
        loop.execute(() -> lateTask.complete(true));
        assertThat(lateTask).isNotDone();
    }
}
