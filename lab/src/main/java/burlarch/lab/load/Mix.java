package burlarch.lab.load;

import burlarch.standins.fleet.Fleet;
import burlarch.standins.fleet.FleetPlan;
import burlarch.standins.model.Draw;
import java.util.List;

/** What the n-th request of a load is: a pure function of the seed and n, so any thread may take any. */
final class Mix {
    private static final int WRITE_BODY_BYTES = 64;

    private final LoadPlan plan;
    private final List<FleetPlan.RequestKind> classes;
    private final double[] classShares;
    private final double[] tenantShares;
    private final Zipf zipf;

    Mix(LoadPlan plan) {
        this.plan = plan;
        this.classes = plan.classes();
        this.classShares = cumulative(
                classes.stream().mapToDouble(FleetPlan.RequestKind::share).toArray());
        this.tenantShares = cumulative(
                plan.tenants().stream().mapToDouble(LoadPlan.Tenant::share).toArray());
        this.zipf =
                new Zipf(plan.keys().count(), plan.keys().zipf(), plan.keys().offset());
    }

    private static double[] cumulative(double[] shares) {
        double[] sums = new double[shares.length];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += shares[i];
            sums[i] = sum;
        }
        for (int i = 0; i < shares.length; i++) {
            sums[i] = sum > 0 ? sums[i] / sum : (i + 1.0) / shares.length;
        }
        return sums;
    }

    private static int pick(double[] cumulative, double unit) {
        int i = 0;
        while (i < cumulative.length - 1 && unit >= cumulative[i]) {
            i++;
        }
        return i;
    }

    PlannedRequest request(long number, long dueNanos) {
        long hash = Draw.mix(plan.seed() * 0x9e3779b97f4a7c15L + Draw.mix(number + 0x51ed27L));
        int requestClass = pick(classShares, Draw.unit(Draw.mix(hash + 1)));
        FleetPlan.RequestKind kind = classes.get(requestClass);
        LoadPlan.Clients clients = plan.clients();
        int timeoutMs = (int) Math.max(1, kind.deadlineNanos() / 1_000_000);
        boolean leaves = Draw.unit(Draw.mix(hash + 4)) < clients.leaveShare();
        String id = id(hash);
        return new PlannedRequest(
                dueNanos,
                id,
                requestClass,
                pick(tenantShares, Draw.unit(Draw.mix(hash + 2))),
                Fleet.key(rank(hash, dueNanos / 1e9)),
                kind.write(),
                timeoutMs,
                hint(kind, hash),
                kind.write() ? WRITE_BODY_BYTES : 0,
                0,
                leaves ? 1 + (long) (Draw.unit(Draw.mix(hash + 5)) * timeoutMs * 1e6) : 0);
    }

    private long rank(long hash, double atS) {
        LoadPlan.Keys keys = plan.keys();
        boolean hot = atS >= keys.hotFromS()
                && atS < keys.hotFromS() + keys.hotForS()
                && Draw.unit(Draw.mix(hash + 6)) < keys.hotShare();
        double unit = Draw.unit(Draw.mix(hash + 3));
        if (hot) {
            // Keys that nobody else asks for much: the last ones.
            return keys.count() - 1L - (long) (unit * Math.min(keys.hotKeys(), keys.count()));
        }
        return (zipf.rank(unit) + (long) (keys.driftPerSecond() * atS)) % keys.count();
    }

    private long hint(FleetPlan.RequestKind kind, long hash) {
        double cv = plan.clients().hintCv();
        return cv < 0 ? 0 : Math.max(1, (long) (kind.workNanos() / 1e3 * Draw.logNormal(Draw.mix(hash + 7), cv)));
    }

    /** Sixteen hex digits, as the protocol page shows them. */
    static String id(long hash) {
        String hex = Long.toHexString(hash);
        return "0".repeat(16 - hex.length()) + hex;
    }

    /** The same request once more, under an id of its own. */
    PlannedRequest retry(PlannedRequest failed, long dueNanos) {
        String id = id(Draw.mix(Long.parseUnsignedLong(failed.id(), 16) + 99));
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
                failed.tryNumber() + 1,
                0);
    }
}
