package burlarch.proxy.status;

import burlarch.decisions.Api.Outcome;
import burlarch.proxy.MembershipWatch;
import burlarch.proxy.MembershipWatch.Member;
import burlarch.proxy.RequestTable;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Collects the data of the status page on the event loop: servers, their last errors, and load by request class. */
public final class StatusCollector implements RequestTable.Observer, MembershipWatch.Observer {
    private static final int MAX_ERRORS_PER_SERVER = 3;
    private static final DateTimeFormatter TIME_FORMAT =
            DateTimeFormatter.ofPattern("HH:mm:ss").withZone(ZoneOffset.UTC);

    private static final class ServerRow {
        Member member;
        /** Most recent first. */
        final ArrayDeque<String> errors = new ArrayDeque<>(MAX_ERRORS_PER_SERVER);
    }

    private static final class ClassCounts {
        final String className;
        int inFlight;
        long requestsSinceSnapshot;

        ClassCounts(String className) {
            this.className = className;
        }
    }

    private final String version;
    private final LongSupplier clockNanos;
    private final LongSupplier wallClockMs;
    private final long startNanos;
    private final Map<Long, ServerRow> servers = new LinkedHashMap<>();
    private boolean discoveryAnswered;
    /** Indexed by request class number. */
    private final List<ClassCounts> classCounts;

    private long snapshotNanos;

    public StatusCollector(String version, List<String> classes, LongSupplier clockNanos, LongSupplier wallClockMs) {
        this.version = version;
        this.clockNanos = clockNanos;
        this.wallClockMs = wallClockMs;
        this.startNanos = clockNanos.getAsLong();
        this.snapshotNanos = startNanos;
        this.classCounts = classes.stream().map(ClassCounts::new).toList();
    }

    @Override
    public void requestAccepted(RequestTable.ClientRequest clientRequest) {
        ClassCounts counts = classCounts.get(clientRequest.requestClass());
        counts.inFlight++;
        counts.requestsSinceSnapshot++;
    }

    @Override
    public void requestFinished(int requestClass) {
        classCounts.get(requestClass).inFlight--;
    }

    @Override
    public void attemptEnded(long server, Outcome outcome) {
        ServerRow row = servers.get(server);
        String errorName = errorName(outcome);
        // Attempts may still end on a server that has been removed; they must not add it again.
        if (row == null || errorName == null) {
            return;
        }
        if (row.errors.size() == MAX_ERRORS_PER_SERVER) {
            row.errors.removeLast();
        }
        row.errors.addFirst(errorName + " " + TIME_FORMAT.format(Instant.ofEpochMilli(wallClockMs.getAsLong())));
    }

    private static String errorName(Outcome outcome) {
        return switch (outcome) {
            case BAD -> "error";
            case FULL -> "full";
            case CROWDED -> "crowded";
            case LATE -> "timeout";
            case NOCONN -> "connect";
            case RST -> "reset";
            case GOOD, MISS, CXL, NOP -> null;
        };
    }

    @Override
    public void listed(List<Member> members, boolean complete) {
        if (complete) {
            servers.keySet().removeIf(id -> members.stream().noneMatch(member -> member.id() == id));
        }
        for (Member member : members) {
            if (member.gone()) {
                servers.remove(member.id());
            } else {
                servers.computeIfAbsent(member.id(), id -> new ServerRow()).member = member;
            }
        }
    }

    @Override
    public void discoveryAnswered() {
        discoveryAnswered = true;
    }

    /** Returns the present state. Request rates cover the time since the previous snapshot. */
    Snapshot snapshot() {
        long nowNanos = clockNanos.getAsLong();
        double seconds = Math.max(1e-3, (nowNanos - snapshotNanos) * 1e-9);
        snapshotNanos = nowNanos;
        List<Snapshot.RequestClassLoad> load = new ArrayList<>();
        for (ClassCounts counts : classCounts) {
            load.add(new Snapshot.RequestClassLoad(
                    counts.className, counts.requestsSinceSnapshot / seconds, counts.inFlight));
            counts.requestsSinceSnapshot = 0;
        }
        // Until discovery answers, only the servers of the configuration are known, and they may be outdated.
        List<Snapshot.Server> serverRows = !discoveryAnswered
                ? List.of()
                : servers.values().stream()
                        .map(row -> new Snapshot.Server(
                                row.member.instanceId(),
                                row.member.hostPort(),
                                row.member.lifecycle(),
                                List.copyOf(row.errors)))
                        .toList();
        return new Snapshot(
                version,
                TimeUnit.NANOSECONDS.toSeconds(nowNanos - startNanos),
                !discoveryAnswered,
                serverRows,
                List.copyOf(load));
    }
}
