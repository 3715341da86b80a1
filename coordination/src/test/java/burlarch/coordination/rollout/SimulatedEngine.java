package burlarch.coordination.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.rollout.RolloutAction.SendOrder;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A simulated incarnation of an engine, which accepts orders by the protocol and asserts that it accepts each version
 * at most once, unless it has gone back to older weights by itself, and only versions that are newer than its weights.
 */
final class SimulatedEngine {
    private static final long REPORT_AGE_MILLIS = 400;

    final String id;
    final String zone;
    final long loadMillis;
    boolean alive = true;
    long version;
    long loadedAtMillis = Long.MIN_VALUE;
    private long nextVersion;
    private long loadsUntilMillis = Long.MIN_VALUE;
    private long sequence;
    private long highestToken;
    private final Set<Long> acceptedVersions = new HashSet<>();
    private EngineReport olderReport;
    private EngineReport newerReport;
    private long newerReportAtMillis = Long.MIN_VALUE;

    SimulatedEngine(String id, String zone, long version, long loadMillis) {
        this.id = id;
        this.zone = zone;
        this.version = version;
        this.loadMillis = loadMillis;
        this.olderReport = createReport(0);
        this.newerReport = olderReport;
    }

    OrderResult take(SendOrder order, long nowMillis) {
        finishDueLoad(nowMillis);
        if (order.fencingToken() < highestToken) {
            return OrderResult.FENCED;
        }
        highestToken = order.fencingToken();
        if (version == order.version()) {
            return OrderResult.ALREADY_LOADED;
        }
        boolean sequenceDiffers = order.expectedSequence() != sequence;
        if (busy(nowMillis) || sequenceDiffers) {
            return OrderResult.CONFLICT;
        }
        assertThat(order.version()).as("%s keeps no older version", id).isGreaterThan(version);
        assertThat(acceptedVersions.add(order.version()))
                .as("%s takes %d once", id, order.version())
                .isTrue();
        recordReport(nowMillis);
        sequence++;
        nextVersion = order.version();
        loadsUntilMillis = nowMillis + loadMillis;
        return OrderResult.ACCEPTED;
    }

    /** Goes back to older weights, as an engine does that is restored from an old copy. */
    void goBackTo(long olderVersion, long nowMillis) {
        finishDueLoad(nowMillis);
        if (!busy(nowMillis)) {
            recordReport(nowMillis);
            version = olderVersion;
            nextVersion = olderVersion;
            acceptedVersions.clear();
        }
    }

    boolean busy(long nowMillis) {
        return loadsUntilMillis > nowMillis;
    }

    /** Returns a report that describes the engine as it was up to {@link #REPORT_AGE_MILLIS} ago. */
    EngineReport report(long nowMillis) {
        finishDueLoad(nowMillis);
        return nowMillis - newerReportAtMillis > REPORT_AGE_MILLIS ? createReport(nowMillis) : olderReport;
    }

    void finishDueLoad(long nowMillis) {
        if (nextVersion > version && !busy(nowMillis)) {
            recordReport(loadsUntilMillis);
            version = nextVersion;
            loadedAtMillis = loadsUntilMillis;
        }
    }

    private void recordReport(long nowMillis) {
        olderReport = newerReport;
        if (nowMillis - newerReportAtMillis > REPORT_AGE_MILLIS) {
            olderReport = createReport(nowMillis - 1);
        }
        newerReportAtMillis = nowMillis;
        newerReport = createReport(nowMillis);
    }

    private EngineReport createReport(long nowMillis) {
        return new EngineReport(List.of(new ServedModel("m", version)), busy(nowMillis), sequence, 0, 0, 0, 0);
    }
}
