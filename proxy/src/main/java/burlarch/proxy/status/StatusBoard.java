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

/** Collects on the loop what the page shows: the list of servers, their errors, and the load by class. */
public final class StatusBoard implements RequestTable.Observer, MembershipWatch.Observer {
    private static final int ERRORS_KEPT = 3;
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss").withZone(ZoneOffset.UTC);

    private static final class Row {
        Member member;
        /** The latest first. */
        final ArrayDeque<String> errors = new ArrayDeque<>(ERRORS_KEPT);
    }

    private static final class Counts {
        final String className;
        int inFlight;
        long sinceSnapshot;

        Counts(String className) {
            this.className = className;
        }
    }

    private final String version;
    private final LongSupplier nowNanos;
    private final LongSupplier wallMs;
    private final long startNanos;
    private final Map<Long, Row> servers = new LinkedHashMap<>();
    private boolean discoveryAnswered;
    /** By the numbers of the classes. */
    private final List<Counts> counts;

    private long snapshotNanos;

    public StatusBoard(String version, List<String> classes, LongSupplier nowNanos, LongSupplier wallMs) {
        this.version = version;
        this.nowNanos = nowNanos;
        this.wallMs = wallMs;
        this.startNanos = nowNanos.getAsLong();
        this.snapshotNanos = startNanos;
        this.counts = classes.stream().map(Counts::new).toList();
    }

    @Override
    public void taken(RequestTable.Arrival arrival) {
        Counts of = counts.get(arrival.requestClass());
        of.inFlight++;
        of.sinceSnapshot++;
    }

    @Override
    public void answered(int requestClass) {
        counts.get(requestClass).inFlight--;
    }

    @Override
    public void attemptEnded(long server, Outcome outcome) {
        Row row = servers.get(server);
        String kind = kind(outcome);
        // A server that is gone may still end attempts: it must not come back by them.
        if (row == null || kind == null) {
            return;
        }
        if (row.errors.size() == ERRORS_KEPT) {
            row.errors.removeLast();
        }
        row.errors.addFirst(kind + " " + TIME.format(Instant.ofEpochMilli(wallMs.getAsLong())));
    }

    private static String kind(Outcome outcome) {
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
                servers.computeIfAbsent(member.id(), id -> new Row()).member = member;
            }
        }
    }

    @Override
    public void discoveryAnswered() {
        discoveryAnswered = true;
    }

    /** The rates are of the time since the snapshot before. */
    Snapshot snapshot() {
        long now = nowNanos.getAsLong();
        double seconds = Math.max(1e-3, (now - snapshotNanos) * 1e-9);
        snapshotNanos = now;
        List<Snapshot.Load> load = new ArrayList<>();
        for (Counts of : counts) {
            load.add(new Snapshot.Load(of.className, of.sinceSnapshot / seconds, of.inFlight));
            of.sinceSnapshot = 0;
        }
        // What the configuration knew is not discovery's word: it may be old.
        List<Snapshot.Server> rows = !discoveryAnswered
                ? List.of()
                : servers.values().stream()
                        .map(row -> new Snapshot.Server(
                                row.member.instanceId(),
                                row.member.hostPort(),
                                row.member.lifecycle(),
                                List.copyOf(row.errors)))
                        .toList();
        return new Snapshot(
                version, TimeUnit.NANOSECONDS.toSeconds(now - startNanos), !discoveryAnswered, rows, List.copyOf(load));
    }
}
