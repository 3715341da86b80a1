package burlarch.lab.load;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import burlarch.settings.SettingsSection;
import burlarch.standins.fleet.FleetPlan;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Settings of a load: arrival rate, duration, clients, tenants, keys and request classes. The configuration keys
 * are documented in docs/lab.md. Request classes are those of the fleet's {@code [[class]]} tables.
 *
 * @param batch maximum number of reads in one multi-get; 0 sends each read alone on the plain port
 * @param initialConnections connections opened before the first request; the load itself uses as few as it can
 * @param replay trace to send in place of the shapes; null for none
 */
public record LoadPlan(
        long seed,
        double seconds,
        boolean poisson,
        List<Shape> shapes,
        int threads,
        int maxConnections,
        List<Tenant> tenants,
        Keys keys,
        Clients clients,
        double maxLagMs,
        Path replay,
        double graceMs,
        List<FleetPlan.RequestClass> classes,
        Path tlsCa,
        boolean tls,
        double warmUpSeconds,
        int batch,
        double batchWaitMs,
        int initialConnections) {
    /**
     * Bounds of the warm-up rate, in requests per second: at least enough to trigger JIT compilation, at most what
     * one core of a null server handles.
     */
    private static final double MIN_WARM_UP_RATE = 10_000;

    private static final double MAX_WARM_UP_RATE = 60_000;

    /**
     * A tenant.
     *
     * @param share relative part of the load
     * @param quotaPerSecond quota given to the proxies
     */
    public record Tenant(String name, double share, double quotaPerSecond) {}

    /**
     * Distribution of the requested keys.
     *
     * @param driftPerSecond ranks by which popularity shifts per second
     * @param hotShare fraction of the reads that go to the {@code hotKeys} hot keys while those are hot
     */
    public record Keys(
            int count,
            double zipf,
            double offset,
            double driftPerSecond,
            double hotShare,
            int hotKeys,
            double hotFromS,
            double hotForS) {}

    /**
     * Client behaviour other than waiting for a response.
     *
     * @param retryShare fraction of refused or failed requests that are retried once, where their class allows it
     * @param honourShare fraction of clients that wait as long as Retry-After says
     * @param leaveShare fraction of clients that disconnect before their timeout, at a uniformly drawn time
     * @param hintCv coefficient of variation of the clients' work estimates; negative to send none
     */
    public record Clients(double retryShare, double backoffMs, double honourShare, double leaveShare, double hintCv) {}

    /**
     * Reads and validates the load settings.
     *
     * @throws SettingsException naming the file and the key
     */
    public static LoadPlan read(SettingsFile file, FleetPlan fleet) throws SettingsException {
        SettingsSection load = file.section("load");
        double seconds = load.number("seconds", 20, 0.05, 86_400);
        Path replay = load.path("replay");
        List<Shape> shapes = new ArrayList<>();
        for (SettingsSection section : file.sections("shape")) {
            shapes.add(shape(section, seconds));
        }
        if (shapes.isEmpty() == (replay == null)) {
            throw file.invalid("shape", "or load.replay: exactly one of them must be set");
        }
        List<Tenant> tenants = new ArrayList<>();
        for (SettingsSection section : file.sections("tenant")) {
            tenants.add(new Tenant(
                    section.require("name").text("name", ""),
                    section.number("share", 1, 0, 1e6),
                    section.number("quota_per_s", 100, 0, 1e9)));
        }
        if (tenants.isEmpty()) {
            tenants.add(new Tenant("all", 1, 1000));
        }
        SettingsSection keys = file.section("keys");
        SettingsSection clients = file.section("clients");
        SettingsSection tls = file.section("client_tls");
        return new LoadPlan(
                load.integer("seed", 1, 0, Integer.MAX_VALUE),
                seconds,
                load.text("arrivals", "poisson", List.of("poisson", "even")).equals("poisson"),
                shapes,
                load.integer("threads", 1, 1, 16),
                load.integer("connections", 1000, 1, 60_000),
                tenants,
                new Keys(
                        fleet.objects().count(),
                        keys.number("zipf", 1, 0, 5),
                        keys.number("offset", 2, 0, 1e6),
                        keys.number("drift_per_s", 0, 0, 1e6),
                        keys.number("hot_share", 0, 0, 1),
                        keys.integer("hot_keys", 1, 1, 10_000),
                        keys.number("hot_from_s", 0, 0, 86_400),
                        keys.number("hot_for_s", 86_400, 0, 86_400)),
                new Clients(
                        clients.number("retry_share", 0, 0, 1),
                        clients.number("backoff_ms", 100, 0, 60_000),
                        clients.number("honour_share", 1, 0, 1),
                        clients.number("leave_share", 0, 0, 1),
                        clients.number("hint_cv", 0.3, -1, 3)),
                load.number("lag_p99_ms_most", 5, 0.01, 10_000),
                replay,
                load.number("grace_ms", 500, 0, 60_000),
                fleet.classes(),
                tls.path("ca_file"),
                tls.flag("on", false),
                load.number("warm_up_s", 2, 0, 60),
                load.integer("batch", 0, 0, 1024),
                load.number("batch_wait_ms", 5, 0, 10_000),
                load.integer("open_first", 0, 0, 60_000));
    }

    private static Shape shape(SettingsSection section, double seconds) throws SettingsException {
        String kind =
                section.require("kind").text("kind", "", List.of("constant", "ramp", "step", "spike", "rush", "day"));
        return switch (kind) {
            case "ramp" -> Shape.ramp(
                    rate(section, "from"),
                    rate(section, "to"),
                    time(section, "start_s", 0),
                    Math.max(time(section, "end_s", seconds), time(section, "start_s", 0) + 1e-6));
            case "step" -> Shape.step(
                    rate(section, "before"), rate(section, "after"), time(section, "at_s", seconds / 2));
            case "spike" -> Shape.spike(
                    rate(section, "rate"), time(section, "at_s", seconds / 2), time(section, "length_s", 1));
            case "rush" -> Shape.rush(
                    rate(section, "peak"),
                    time(section, "at_s", 0),
                    Math.max(0.001, time(section, "rise_s", 2)),
                    Math.max(0.001, time(section, "half_life_s", 10)));
            case "day" -> Shape.day(
                    rate(section, "least"), rate(section, "most"), Math.max(0.001, time(section, "length_s", seconds)));
            default -> Shape.constant(rate(section, "rate"));
        };
    }

    private static double rate(SettingsSection section, String key) throws SettingsException {
        return section.require(key).number(key, 0, 0, 1e7);
    }

    private static double time(SettingsSection section, String key, double defaultSeconds) throws SettingsException {
        return section.number(key, defaultSeconds, 0, 86_400);
    }

    /** Returns this plan over TLS, trusting servers whose certificates this CA has signed. */
    public LoadPlan withTrustedCa(Path caFile) {
        return new LoadPlan(
                seed,
                seconds,
                poisson,
                shapes,
                threads,
                maxConnections,
                tenants,
                keys,
                clients,
                maxLagMs,
                replay,
                graceMs,
                classes,
                caFile,
                true,
                warmUpSeconds,
                batch,
                batchWaitMs,
                initialConnections);
    }

    /**
     * Returns a warm-up load with the same classes and keys and a similar peak rate, whose clients neither retry
     * nor disconnect early.
     */
    LoadPlan forWarmUp() {
        Shape total = shape();
        double peakRate = 0;
        for (double s = 0; s < seconds; s += Math.max(0.1, seconds / 1000)) {
            peakRate = Math.max(peakRate, total.rate(s));
        }
        double rate = Math.max(MIN_WARM_UP_RATE, Math.min(MAX_WARM_UP_RATE, peakRate));
        return new LoadPlan(
                seed,
                warmUpSeconds,
                poisson,
                List.of(Shape.constant(rate)),
                threads,
                Math.min(maxConnections, 128),
                tenants,
                keys,
                new Clients(0, 0, 0, 0, clients.hintCv()),
                1000,
                null,
                graceMs,
                readsOnly(classes),
                null,
                false,
                0,
                0,
                0,
                0);
    }

    /** Turns writes into reads, because the null server reads no request bodies. */
    private static List<FleetPlan.RequestClass> readsOnly(List<FleetPlan.RequestClass> classes) {
        return classes.stream()
                .map(kind -> new FleetPlan.RequestClass(
                        kind.name(),
                        kind.share(),
                        kind.workNanos(),
                        kind.cv(),
                        kind.ledgerWorkNanos(),
                        false,
                        kind.repeat(),
                        kind.aimNanos(),
                        kind.deadlineNanos(),
                        kind.worth()))
                .toList();
    }

    /** Returns the sum of all shapes. */
    public Shape shape() {
        return shapes.stream().reduce(Shape.constant(0), Shape::plus);
    }
}
