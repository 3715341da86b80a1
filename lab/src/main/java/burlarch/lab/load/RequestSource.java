package burlarch.lab.load;

import burlarch.standins.fleet.FleetPlan;
import burlarch.standins.model.SeededRandom;
import burlarch.trace.TraceReader;
import burlarch.trace.TraceRecord;
import burlarch.trace.TraceWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests of a run, fixed before it starts and numbered by due time. Implementations are immutable and may be
 * used by any thread.
 */
interface RequestSource {
    int count();

    long dueNanos(int number);

    PlannedRequest request(int number);

    /** Returns the same request for a retry, with a new id. */
    PlannedRequest retry(PlannedRequest failed, long dueNanos);

    static RequestSource of(LoadPlan plan) throws IOException {
        return plan.replay() == null ? scheduled(plan) : replayed(plan);
    }

    private static RequestSource scheduled(LoadPlan plan) {
        long[] dueTimes = Schedule.of(plan.shape(), plan.seconds(), plan.poisson(), plan.seed());
        RequestMix mix = new RequestMix(plan);
        return new RequestSource() {
            @Override
            public int count() {
                return dueTimes.length;
            }

            @Override
            public long dueNanos(int number) {
                return dueTimes[number];
            }

            @Override
            public PlannedRequest request(int number) {
                return mix.request(number, dueTimes[number]);
            }

            @Override
            public PlannedRequest retry(PlannedRequest failed, long dueNanos) {
                return mix.retry(failed, dueNanos);
            }
        };
    }

    /**
     * Loads the requests of a trace with their original gaps; the trace's classes and tenants must be in the plan.
     */
    private static RequestSource replayed(LoadPlan plan) throws IOException {
        Map<String, Integer> classes = new HashMap<>();
        for (FleetPlan.RequestClass kind : plan.classes()) {
            classes.put(kind.name(), classes.size());
        }
        Map<String, Integer> tenants = new HashMap<>();
        for (LoadPlan.Tenant tenant : plan.tenants()) {
            tenants.put(tenant.name(), tenants.size());
        }
        RequestMix mix = new RequestMix(plan);
        List<PlannedRequest> requests = new ArrayList<>();
        long endNanos = (long) (plan.seconds() * 1e9);
        try (TraceReader reader = new TraceReader(plan.replay())) {
            for (TraceRecord traceRecord = reader.next(); traceRecord != null; traceRecord = reader.next()) {
                if (traceRecord.dueNanos() >= endNanos) {
                    // Continue reading: damage later in the trace must still be reported.
                    continue;
                }
                Integer requestClass = classes.get(traceRecord.requestClass());
                Integer tenant = tenants.getOrDefault(
                        traceRecord.tenant(), plan.tenants().size() == 1 ? 0 : null);
                if (requestClass == null || tenant == null) {
                    throw new IOException(plan.replay() + ": record " + requests.size() + " is of "
                            + (requestClass == null
                                    ? "class " + traceRecord.requestClass()
                                    : "tenant " + traceRecord.tenant())
                            + ", which the load settings do not define");
                }
                String id = RequestMix.id(SeededRandom.mix(plan.seed() * 31L + SeededRandom.mix(requests.size() + 1)));
                requests.add(new PlannedRequest(
                        traceRecord.dueNanos(),
                        id,
                        requestClass,
                        tenant,
                        traceRecord.key(),
                        traceRecord.write(),
                        traceRecord.timeoutMs(),
                        traceRecord.costMicros(),
                        traceRecord.bodyBytes(),
                        0,
                        0));
            }
        }
        return new RequestSource() {
            @Override
            public int count() {
                return requests.size();
            }

            @Override
            public long dueNanos(int number) {
                return requests.get(number).dueNanos();
            }

            @Override
            public PlannedRequest request(int number) {
                return requests.get(number);
            }

            @Override
            public PlannedRequest retry(PlannedRequest failed, long dueNanos) {
                return mix.retry(failed, dueNanos);
            }
        };
    }

    /** Writes the planned requests as a trace, without retries, which depend on the responses received. */
    static void record(LoadPlan plan, RequestSource source, Path file) throws IOException {
        try (TraceWriter writer = new TraceWriter(Files.newOutputStream(file), 0)) {
            for (int i = 0; i < source.count(); i++) {
                PlannedRequest planned = source.request(i);
                writer.write(new TraceRecord(
                        planned.dueNanos(),
                        plan.classes().get(planned.requestClass()).name(),
                        plan.tenants().get(planned.tenant()).name(),
                        planned.key(),
                        planned.write(),
                        planned.timeoutMs(),
                        planned.costMicros(),
                        planned.bodyBytes()));
            }
        }
    }
}
