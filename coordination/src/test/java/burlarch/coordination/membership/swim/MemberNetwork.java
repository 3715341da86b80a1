package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A simulated network of members on a virtual clock, which delivers datagrams in order and without delay. */
final class MemberNetwork {
    static final long NANOS_PER_MILLI = 1_000_000L;

    private record InFlight(String from, SwimStep.Datagram datagram) {}

    final Map<String, Swim> byAddress = new HashMap<>();
    final Map<String, Long> wakeUps = new HashMap<>();
    final Map<String, List<MemberChange>> changes = new HashMap<>();
    final Set<String> partitioned = new HashSet<>();
    final Set<String> paused = new HashSet<>();
    long nowNanos = -5 * NANOS_PER_MILLI;
    private final Deque<InFlight> inFlight = new ArrayDeque<>();
    private int largestDatagramBytes;

    static MemberInfo info(int number, long process) {
        return new MemberInfo("member-" + number, "10.0.0." + number + ":7000", "router", "zone", process);
    }

    static String address(int number) {
        return info(number, 1).address();
    }

    Swim start(MemberInfo info, String... seeds) {
        Swim swim = new Swim(info, List.of(seeds), SwimSettings.defaults(), info.processId(), nowNanos);
        byAddress.put(info.address(), swim);
        wakeUps.put(info.address(), nowNanos);
        changes.put(info.address(), new ArrayList<>());
        return swim;
    }

    void kill(String address) {
        byAddress.remove(address);
        wakeUps.remove(address);
    }

    void apply(String address, SwimStep step) {
        wakeUps.put(address, step.wakeUpAtNanos());
        changes.get(address).addAll(step.changes());
        for (SwimStep.Datagram datagram : step.datagrams()) {
            largestDatagramBytes = Math.max(largestDatagramBytes, datagram.bytes().length);
            if (!partitioned.contains(address)) {
                inFlight.add(new InFlight(address, datagram));
            }
        }
    }

    void run(long millis) {
        long end = nowNanos + millis * NANOS_PER_MILLI;
        for (; nowNanos - end < 0; nowNanos += NANOS_PER_MILLI) {
            for (String address : List.copyOf(byAddress.keySet())) {
                if (!paused.contains(address) && nowNanos - wakeUps.get(address) >= 0) {
                    apply(address, byAddress.get(address).onTimer(nowNanos));
                }
            }
            deliver();
        }
    }

    int largestDatagramBytes() {
        return largestDatagramBytes;
    }

    private void deliver() {
        while (!inFlight.isEmpty()) {
            InFlight datagramInFlight = inFlight.removeFirst();
            String to = datagramInFlight.datagram().to();
            if (byAddress.containsKey(to) && !partitioned.contains(to) && !paused.contains(to)) {
                apply(
                        to,
                        byAddress
                                .get(to)
                                .onDatagram(
                                        datagramInFlight.from(),
                                        datagramInFlight.datagram().bytes(),
                                        nowNanos));
            }
        }
    }
}
