package burlarch.simulation.coordination;

import burlarch.simulation.Simulation;
import burlarch.simulation.transport.Packet;
import burlarch.transport.FrameCodec;
import burlarch.transport.NodeMessage;
import java.util.Map;
import java.util.TreeMap;

/** Message observer that counts the messages between nodes and their bytes, by kind of message. */
final class ChangeTraffic implements Simulation.MessageObserver {
    private static final int KIND_OFFSET = 4;
    private static final int FIRST_REGISTER_KIND = 32;
    private static final int DECIDED = 3;
    private static final int FETCH_DECIDED = 5;
    private static final int CONFIGURATION_UPDATE = 6;
    private static final int CONFIGURATION_CHANGE = 13;

    private final FrameCodec codec = new FrameCodec();
    private final Map<Integer, Long> bytesByKind = new TreeMap<>();
    private final Map<Integer, Integer> countByKind = new TreeMap<>();

    @Override
    public void onSend(String fromMachine, Object message) {
        if (message instanceof Packet packet && packet.body() != null) {
            byte[] frame = packet.body() instanceof byte[] bytes ? bytes : codec.encode((NodeMessage) packet.body());
            bytesByKind.merge((int) frame[KIND_OFFSET], (long) frame.length, Long::sum);
            countByKind.merge((int) frame[KIND_OFFSET], 1, Integer::sum);
        }
    }

    void reset() {
        bytesByKind.clear();
        countByKind.clear();
    }

    /** Returns the bytes of register messages between controllers. */
    long registerBytes() {
        return sum(FIRST_REGISTER_KIND, Integer.MAX_VALUE) + sum(DECIDED, DECIDED);
    }

    /** Returns the bytes of configuration messages sent to routers. */
    long configurationBytes() {
        return sum(CONFIGURATION_UPDATE, CONFIGURATION_UPDATE) + sum(CONFIGURATION_CHANGE, CONFIGURATION_CHANGE);
    }

    /** Returns how often controllers fetched the complete committed value from one another. */
    int fetches() {
        return countByKind.getOrDefault(FETCH_DECIDED, 0);
    }

    private long sum(int from, int to) {
        return bytesByKind.entrySet().stream()
                .filter(kind -> kind.getKey() >= from && kind.getKey() <= to)
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    @Override
    public String toString() {
        return bytesByKind.toString();
    }
}
