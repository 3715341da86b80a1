package burlarch.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Decides when, how often and whether a message arrives. */
public final class SimulatedNetwork {
    /** Messages that set out while it lasts, from one of the first to one of the second, are lost. */
    public static final class Cut {
        private final Set<String> from;
        private final Set<String> to;

        private Cut(Set<String> from, Set<String> to) {
            this.from = Set.copyOf(from);
            this.to = Set.copyOf(to);
        }

        private boolean holds(String sender, String receiver) {
            return from.contains(sender) && to.contains(receiver);
        }
    }

    private final Random random;
    private final List<Cut> cuts = new ArrayList<>();
    private NetworkSettings settings;

    SimulatedNetwork(NetworkSettings settings, Random random) {
        this.settings = settings;
        this.random = random;
    }

    public NetworkSettings settings() {
        return settings;
    }

    /** Holds for all messages that set out from now on. */
    public void change(NetworkSettings newSettings) {
        settings = newSettings;
    }

    /** Cuts one way, by names of machines; a machine is never cut from itself. */
    public Cut cut(Set<String> from, Set<String> to) {
        Cut cut = new Cut(from, to);
        cuts.add(cut);
        return cut;
    }

    public void heal(Cut cut) {
        cuts.remove(cut);
    }

    public void healAll() {
        cuts.clear();
    }

    /** Whether no cut is in force. */
    public boolean isWhole() {
        return cuts.isEmpty();
    }

    /** Whether a message sent now from one address can reach the other. */
    public boolean connected(String from, String to) {
        if (from.equals(to)) {
            return true;
        }
        for (Cut cut : cuts) {
            if (cut.holds(from, to)) {
                return false;
            }
        }
        return true;
    }

    /** Times on the way of all copies that arrive; none if the message is lost. */
    long[] delays(String from, String to) {
        if (!connected(from, to) || random.nextDouble() < settings.loss()) {
            return new long[0];
        }
        long[] delays = new long[random.nextDouble() < settings.duplication() ? 2 : 1];
        for (int i = 0; i < delays.length; i++) {
            double spread = settings.maxDelay() - settings.minDelay();
            delays[i] = settings.minDelay() + (long) (random.nextDouble() * spread);
        }
        return delays;
    }
}
