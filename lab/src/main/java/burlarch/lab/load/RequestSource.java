package burlarch.lab.load;

import burlarch.standins.fleet.FleetPlan;
import burlarch.standins.model.Draw;
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
 * All requests of a run, fixed before it begins, by number in the order in which they are due. Any thread.
 */
interface RequestSource {
    int count();

    long dueNanos(int number);

    PlannedRequest request(int number);

    /** The same request once more, under an id of its own. */
    PlannedRequest retry(PlannedRequest failed, long dueNanos);

    static RequestSource of(LoadPlan plan) throws IOException {
        return plan.replay() == null ? scheduled(plan) : replayed(plan);
    }

    private static RequestSource scheduled(LoadPlan plan) {
        long[] due = Schedule.of(plan.shape(), plan.seconds(), plan.poisson(), plan.seed());
        Mix mix = new Mix(plan);
        return new RequestSource() {
            @Override
            public int count() {
                return due.length;
            }

            @Override
            public long dueNanos(int number) {
                return due[number];
            }

            @Override
            public PlannedRequest request(int number) {
                return mix.request(number, due[number]);
            }

            @Override
            public PlannedRequest retry(PlannedRequest failed, long dueNanos) {
                return mix.retry(failed, dueNanos);
            }
        };
    }

    /** A trace's requests with their gaps; its classes and tenants must be the plan's. */
    private static RequestSource replayed(LoadPlan plan) throws IOException {
        Map<String, Integer> classes = new HashMap<>();
        for (FleetPlan.RequestKind kind : plan.classes()) {
            classes.put(kind.name(), classes.size());
        }
        Map<String, Integer> tenants = new HashMap<>();
        for (LoadPlan.Tenant tenant : plan.tenants()) {
            tenants.put(tenant.name(), tenants.size());
        }
        Mix mix = new Mix(plan);
        List<PlannedRequest> requests = new ArrayList<>();
        long untilNanos = (long) (plan.seconds() * 1e9);
        try (TraceReader reader = new TraceReader(plan.replay())) {
            for (TraceRecord r = reader.next(); r != null; r = reader.next()) {
                if (r.dueNanos() >= untilNanos) {
                    // Read on: a trace that is damaged further on should not pass for a good one.
                    continue;
                }
                Integer requestClass = classes.get(r.requestClass());
                Integer tenant = tenants.getOrDefault(r.tenant(), plan.tenants().size() == 1 ? 0 : null);
                if (requestClass == null || tenant == null) {
                    throw new IOException(plan.replay() + ": record " + requests.size() + " is of "
                            + (requestClass == null ? "class " + r.requestClass() : "tenant " + r.tenant())
                            + ", which the file of this load does not have");
                }
                String id = Mix.id(Draw.mix(plan.seed() * 31L + Draw.mix(requests.size() + 1)));
                requests.add(new PlannedRequest(
                        r.dueNanos(),
                        id,
                        requestClass,
                        tenant,
                        r.key(),
                        r.write(),
                        r.timeoutMs(),
                        r.costMicros(),
                        r.bodyBytes(),
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

    /**
     * Writes the whole plan down, as a trace; without the retries, which are the clients' answer to what
     * happens.
     */
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
