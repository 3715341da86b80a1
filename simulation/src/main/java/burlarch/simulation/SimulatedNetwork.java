package burlarch.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Network model that determines loss, duplication and delay of each message. Settings, partitions and hold-ups apply to
 * messages that are sent while they are in force; later changes do not affect messages in flight.
 *
 * <p>Owned by one {@link Simulation}; not thread-safe.
 */
public final class SimulatedNetwork {
    /** A one-way partition: messages from any machine of one set to any machine of another set are lost. */
    public static final class Partition {
        private final Set<String> from;
        private final Set<String> to;

        private Partition(Set<String> from, Set<String> to) {
            this.from = Set.copyOf(from);
            this.to = Set.copyOf(to);
        }

        private boolean blocks(String sender, String receiver) {
            return from.contains(sender) && to.contains(receiver);
        }
    }

    /**
     * A one-way hold-up: messages from any machine of one set to any machine of another set do not arrive before its
     * end, and some of them long after it, as bytes do that are sent again with a growing pause.
     */
    public static final class HoldUp {
        private final Partition path;
        private final long endNanos;

        private HoldUp(Partition path, long endNanos) {
            this.path = path;
            this.endNanos = endNanos;
        }
    }

    private static final long[] NO_DELIVERY = {};
    /** How late a message is at most after the end of its hold-up, or a late copy after the first one. */
    private static final long MAX_LATE_NANOS = 8 * Simulation.SECOND;

    private final Random random;
    private final List<Partition> partitions = new ArrayList<>();
    private final List<HoldUp> holdUps = new ArrayList<>();
    private NetworkSettings settings;
    private double lateCopyProbability;
    private Predicate<Object> lateCopyFilter = message -> false;

    SimulatedNetwork(NetworkSettings settings, Random random) {
        this.settings = settings;
        this.random = random;
    }

    /** Returns the settings in force. */
    public NetworkSettings settings() {
        return settings;
    }

    /** Replaces the settings for all messages that are sent from now on. */
    public void setSettings(NetworkSettings newSettings) {
        settings = newSettings;
    }

    /**
     * Starts a one-way partition between machines, given by name. A machine in both sets can still reach itself.
     *
     * @return handle for {@link #heal}
     */
    public Partition partition(Set<String> from, Set<String> to) {
        Partition partition = new Partition(from, to);
        partitions.add(partition);
        return partition;
    }

    /** Ends one partition; does nothing if it has already ended. */
    public void heal(Partition partition) {
        partitions.remove(partition);
    }

    /**
     * Starts a one-way hold-up between machines, given by name.
     *
     * @param endNanos virtual time before which no message arrives
     * @return handle for {@link #release}
     */
    public HoldUp holdUp(Set<String> from, Set<String> to, long endNanos) {
        HoldUp holdUp = new HoldUp(new Partition(from, to), endNanos);
        holdUps.add(holdUp);
        return holdUp;
    }

    /** Ends one hold-up for the messages that are sent from now on; does nothing if it has already ended. */
    public void release(HoldUp holdUp) {
        holdUps.remove(holdUp);
    }

    /**
     * Delivers a second copy, seconds late, of some of the messages that are sent from now on.
     *
     * @param probability of a copy, from 0 to 1
     * @param filter accepts the messages of which there may be copies
     */
    public void setLateCopies(double probability, Predicate<Object> filter) {
        lateCopyProbability = probability;
        lateCopyFilter = filter;
    }

    /** Ends all partitions and hold-ups. */
    public void healAll() {
        partitions.clear();
        holdUps.clear();
    }

    /** Returns whether no partition and no hold-up is in force. */
    public boolean hasNoPartition() {
        return partitions.isEmpty() && holdUps.isEmpty();
    }

    /**
     * Returns whether messages from one machine to another are neither blocked nor held up; always true from a machine
     * to itself.
     */
    public boolean connected(String from, String to) {
        if (from.equals(to)) {
            return true;
        }
        for (Partition partition : partitions) {
            if (partition.blocks(from, to)) {
                return false;
            }
        }
        return holdUpBetween(from, to).isEmpty();
    }

    private Optional<HoldUp> holdUpBetween(String from, String to) {
        return from.equals(to)
                ? Optional.empty()
                : holdUps.stream()
                        .filter(holdUp -> holdUp.path.blocks(from, to))
                        .findFirst();
    }

    /**
     * Decides at random how one message is delivered.
     *
     * @return delay in nanoseconds of each copy that arrives; empty if the message is lost
     */
    long[] drawDelaysNanos(String from, String to, Object message, long nowNanos) {
        Optional<HoldUp> holdUp = holdUpBetween(from, to);
        if (holdUp.isPresent()) {
            return new long[] {holdUp.get().endNanos - nowNanos + drawLateNanos()};
        }
        if (!connected(from, to) || random.nextDouble() < settings.lossProbability()) {
            return NO_DELIVERY;
        }
        long[] delaysNanos = new long[random.nextDouble() < settings.duplicationProbability() ? 2 : 1];
        for (int i = 0; i < delaysNanos.length; i++) {
            double delayRangeNanos = settings.maxDelayNanos() - settings.minDelayNanos();
            delaysNanos[i] = settings.minDelayNanos() + (long) (random.nextDouble() * delayRangeNanos);
        }
        return hasLateCopy(message) ? withLateCopy(delaysNanos) : delaysNanos;
    }

    private boolean hasLateCopy(Object message) {
        return lateCopyProbability > 0 && lateCopyFilter.test(message) && random.nextDouble() < lateCopyProbability;
    }

    private long[] withLateCopy(long[] delaysNanos) {
        long[] withCopy = Arrays.copyOf(delaysNanos, delaysNanos.length + 1);
        withCopy[delaysNanos.length] = delaysNanos[0] + drawLateNanos();
        return withCopy;
    }

    private long drawLateNanos() {
        return (long) (random.nextDouble() * MAX_LATE_NANOS);
    }
}
