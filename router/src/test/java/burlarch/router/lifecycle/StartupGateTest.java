package burlarch.router.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;

/** Order, number and maximum wait of requests at the startup gate. */
class StartupGateTest {
    @Test
    void waitingRequestsRunInOrderOfArrivalAndLaterOnesImmediately() throws Exception {
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("gate", true);
        scheduler.start();
        try {
            StartupGate gate = new StartupGate(scheduler);
            List<Integer> released = new ArrayList<>();
            gate.pass(() -> released.add(1));
            gate.pass(() -> released.add(2));
            assertThat(released).isEmpty();
            gate.open();
            assertThat(released).containsExactly(1, 2);
            gate.pass(() -> released.add(3));
            assertThat(released).containsExactly(1, 2, 3);
        } finally {
            scheduler.stop();
        }
    }

    @Test
    void requestsBeyondTheMaximumNumberDoNotWait() throws Exception {
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("gate", true);
        scheduler.start();
        try {
            StartupGate gate = new StartupGate(scheduler);
            AtomicInteger released = new AtomicInteger();
            for (int i = 0; i <= StartupGate.MAX_WAITING; i++) {
                gate.pass(new CountingRequest(released));
            }
            assertThat(released.get()).isEqualTo(1);
        } finally {
            scheduler.stop();
        }
    }

    /** A client whose timeout is shorter than the maximum wait of the gate would otherwise time out. */
    @Test
    void aRequestWaitsNoLongerThanItsClient() throws Exception {
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("gate", true);
        scheduler.start();
        try {
            StartupGate gate = new StartupGate(scheduler);
            BlockingQueue<String> released = new LinkedBlockingQueue<>();
            gate.pass(() -> released.add("patient"), Long.MAX_VALUE);
            gate.pass(() -> released.add("impatient"), 20);
            gate.pass(() -> released.add("late"), -5);
            assertThat(released.poll(5, TimeUnit.SECONDS)).isEqualTo("late");
            assertThat(released.poll(5, TimeUnit.SECONDS)).isEqualTo("impatient");
            assertThat(released.poll(5, TimeUnit.SECONDS)).isEqualTo("patient");
        } finally {
            scheduler.stop();
        }
    }

    private static final class CountingRequest implements Runnable {
        private final AtomicInteger count;

        CountingRequest(AtomicInteger count) {
            this.count = count;
        }

        @Override
        public void run() {
            count.incrementAndGet();
        }
    }
}
