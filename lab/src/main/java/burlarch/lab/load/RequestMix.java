package burlarch.lab.load;

import burlarch.standins.fleet.Fleet;
import burlarch.standins.fleet.FleetPlan;
import burlarch.standins.model.SeededRandom;
import java.util.List;

/**
 * Generates the n-th request of a load as a pure function of the seed and n, so that any thread can generate any
 * request.
 */
final class RequestMix {
    private static final int WRITE_BODY_BYTES = 64;

    private final LoadPlan plan;
    private final List<FleetPlan.RequestClass> classes;
    private final double[] classShares;
    private final double[] tenantShares;
    private final Zipf zipf;

    RequestMix(LoadPlan plan) {
        this.plan = plan;
        this.classes = plan.classes();
        this.classShares = cumulative(
                classes.stream().mapToDouble(FleetPlan.RequestClass::share).toArray());
        this.tenantShares = cumulative(
                plan.tenants().stream().mapToDouble(LoadPlan.Tenant::share).toArray());
        this.zipf =
                new Zipf(plan.keys().count(), plan.keys().zipf(), plan.keys().offset());
    }

    private static double[] cumulative(double[] shares) {
        double[] cumulative = new double[shares.length];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += shares[i];
            cumulative[i] = sum;
        }
        for (int i = 0; i < shares.length; i++) {
            cumulative[i] = sum > 0 ? cumulative[i] / sum : (i + 1.0) / shares.length;
        }
        return cumulative;
    }

    private static int pickIndex(double[] cumulative, double uniform) {
        int i = 0;
        while (i < cumulative.length - 1 && uniform >= cumulative[i]) {
            i++;
        }
        return i;
    }

    PlannedRequest request(long number, long dueNanos) {
        long hash = SeededRandom.mix(plan.seed() * 0x9e3779b97f4a7c15L + SeededRandom.mix(number + 0x51ed27L));
        int requestClass = pickIndex(classShares, SeededRandom.unit(SeededRandom.mix(hash + 1)));
        FleetPlan.RequestClass kind = classes.get(requestClass);
        LoadPlan.Clients clients = plan.clients();
        int timeoutMs = (int) Math.max(1, kind.deadlineNanos() / 1_000_000);
        boolean disconnects = SeededRandom.unit(SeededRandom.mix(hash + 4)) < clients.leaveShare();
        String id = id(hash);
        return new PlannedRequest(
                dueNanos,
                id,
                requestClass,
                pickIndex(tenantShares, SeededRandom.unit(SeededRandom.mix(hash + 2))),
                Fleet.key(rank(hash, dueNanos / 1e9)),
                kind.write(),
                timeoutMs,
                hint(kind, hash),
                kind.write() ? WRITE_BODY_BYTES : 0,
                0,
                disconnects ? 1 + (long) (SeededRandom.unit(SeededRandom.mix(hash + 5)) * timeoutMs * 1e6) : 0);
    }

    private long rank(long hash, double timeS) {
        LoadPlan.Keys keys = plan.keys();
        boolean hot = timeS >= keys.hotFromS()
                && timeS < keys.hotFromS() + keys.hotForS()
                && SeededRandom.unit(SeededRandom.mix(hash + 6)) < keys.hotShare();
        double uniform = SeededRandom.unit(SeededRandom.mix(hash + 3));
        if (hot) {
            // Hot keys are the last ones, which are the least popular otherwise.
            return keys.count() - 1L - (long) (uniform * Math.min(keys.hotKeys(), keys.count()));
        }
        return (zipf.rank(uniform) + (long) (keys.driftPerSecond() * timeS)) % keys.count();
    }

    private long hint(FleetPlan.RequestClass kind, long hash) {
        double cv = plan.clients().hintCv();
        return cv < 0
                ? 0
                : Math.max(1, (long) (kind.workNanos() / 1e3 * SeededRandom.logNormal(SeededRandom.mix(hash + 7), cv)));
    }

    /** Formats a request id: sixteen hexadecimal digits, as the protocol page specifies. */
    static String id(long hash) {
        String hex = Long.toHexString(hash);
        return "0".repeat(16 - hex.length()) + hex;
    }

    /** Returns the same request for a retry, with a new id. */
    PlannedRequest retry(PlannedRequest failed, long dueNanos) {
        String id = id(SeededRandom.mix(Long.parseUnsignedLong(failed.id(), 16) + 99));
        return new PlannedRequest(
                dueNanos,
                id,
                failed.requestClass(),
                failed.tenant(),
                failed.key(),
                failed.write(),
                failed.timeoutMs(),
                failed.costMicros(),
                failed.bodyBytes(),
                failed.attemptIndex() + 1,
                0);
    }
}
