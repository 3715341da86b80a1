package burlarch.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Network model that determines loss, duplication and delay of each message. Settings and partitions apply to messages
 * that are sent while they are in force; later changes do not affect messages in flight.
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

    private static final long[] NO_DELIVERY = {};

    private final Random random;
    private final List<Partition> partitions = new ArrayList<>();
    private NetworkSettings settings;

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

    /** Ends all partitions. */
    public void healAll() {
        partitions.clear();
    }

    /** Returns whether no partition is in force. */
    public boolean hasNoPartition() {
        return partitions.isEmpty();
    }

    /** Returns whether messages from one machine to another are not blocked; always true from a machine to itself. */
    public boolean connected(String from, String to) {
        if (from.equals(to)) {
            return true;
        }
        for (Partition partition : partitions) {
            if (partition.blocks(from, to)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Decides at random how one message is delivered.
     *
     * @return delay in nanoseconds of each copy that arrives; empty if the message is lost
     */
    long[] drawDelaysNanos(String from, String to) {
        if (!connected(from, to) || random.nextDouble() < settings.lossProbability()) {
            return NO_DELIVERY;
        }
        long[] delaysNanos = new long[random.nextDouble() < settings.duplicationProbability() ? 2 : 1];
        for (int i = 0; i < delaysNanos.length; i++) {
            double delayRangeNanos = settings.maxDelayNanos() - settings.minDelayNanos();
            delaysNanos[i] = settings.minDelayNanos() + (long) (random.nextDouble() * delayRangeNanos);
        }
        return delaysNanos;
    }
}
