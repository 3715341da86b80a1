package burlarch.lab.experiment;

import burlarch.lab.load.LoadPlan;
import burlarch.standins.fleet.FleetPlan;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;

/** Builds the JSON configuration of a proxy from an experiment, in the format of the deployment page. */
final class ProxySettings {
    private static final JsonFactory FACTORY = new JsonFactory();

    private ProxySettings() {}

    static String configurationJson(
            ExperimentPlan plan, String name, String listen, String discovery, String known, long seed)
            throws IOException {
        StringWriter writer = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(writer)) {
            json.writeStartObject();
            json.writeStringField("name", name);
            json.writeStringField("listen", listen);
            json.writeStringField("discovery", discovery);
            json.writeStringField("seed", Long.toHexString(seed));
            json.writeObjectFieldStart("limits");
            json.writeNumberField("cores", 1.0);
            json.writeNumberField("memory_mb", 192);
            json.writeNumberField("sockets", plan.proxies().sockets());
            json.writeEndObject();
            json.writeFieldName("known");
            json.writeRawValue(known);
            json.writeFieldName("settings");
            writeSettings(json, plan);
            json.writeEndObject();
        }
        return writer.toString();
    }

    private static void writeSettings(JsonGenerator json, ExperimentPlan plan) throws IOException {
        FleetPlan fleet = plan.fleet();
        json.writeStartObject();
        json.writeNumberField("replicas_of_me", fleet.proxyPlans().size());
        json.writeStringField("membership_mode", "on_request");
        json.writeNumberField("quantum_ns", 5_000_000);
        Set<String> zones = new LinkedHashSet<>();
        Set<String> kinds = new LinkedHashSet<>();
        fleet.proxyPlans().forEach(proxyPlan -> zones.add(proxyPlan.zone()));
        for (FleetPlan.NodePlan node : fleet.nodes()) {
            zones.add(node.zone());
            kinds.add(node.kind().name());
        }
        writeNames(json, "zones", zones);
        writeNames(json, "models", kinds);
        json.writeObjectFieldStart("specifics");
        json.writeStringField("mode", "aside");
        json.writeNumberField("origin_kind", kinds.stream().toList().indexOf("origin"));
        json.writeEndObject();
        json.writeObjectFieldStart("limits");
        json.writeNumberField("attempts_cap", plan.proxies().maxAttempts());
        json.writeBooleanField("cancel", true);
        json.writeBooleanField("may_duplicate", false);
        json.writeBooleanField("retry_after", true);
        json.writeNumberField("max_retry_after_ns", 2_000_000_000L);
        json.writeNumberField("connect_timeout_ns", 250_000_000L);
        json.writeNumberField(
                "idle_close_ns",
                fleet.nodes().stream()
                        .mapToLong(node -> node.kind().idleCloseNanos())
                        .min()
                        .orElse(15_000_000_000L));
        json.writeEndObject();
        json.writeObjectFieldStart("charges");
        json.writeNumberField("connection", 0);
        json.writeNumberField("handshake", 0);
        json.writeEndObject();
        json.writeObjectFieldStart("obligations");
        json.writeNumberField(
                "cold_from",
                fleet.nodes().stream()
                        .mapToDouble(node -> node.kind().coldShare())
                        .min()
                        .orElse(0.2));
        json.writeNumberField(
                "cold_ns",
                fleet.nodes().stream()
                        .mapToLong(node -> node.kind().coldNanos())
                        .max()
                        .orElse(0));
        json.writeNumberField("fall_multiple", 3);
        json.writeNumberField("fall_ns", 3_000_000_000L);
        json.writeNumberField("drain_grace_ns", 750_000_000L);
        json.writeEndObject();
        json.writeArrayFieldStart("tenants");
        double totalShares = plan.load().tenants().stream()
                .mapToDouble(LoadPlan.Tenant::share)
                .sum();
        for (LoadPlan.Tenant tenant : plan.load().tenants()) {
            json.writeStartObject();
            json.writeStringField("name", tenant.name());
            json.writeNumberField("fraction", totalShares > 0 ? tenant.share() / totalShares : 0);
            json.writeNumberField("quota_per_s", tenant.quotaPerSecond());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeArrayFieldStart("request_classes");
        for (FleetPlan.RequestClass kind : fleet.classes()) {
            json.writeStartObject();
            json.writeStringField("name", kind.name());
            json.writeNumberField("aim_ns", kind.aimNanos());
            json.writeNumberField("deadline_ns", kind.deadlineNanos());
            json.writeStringField("repeat", kind.repeat().kind().name().toLowerCase(Locale.ROOT));
            json.writeStringField("key_scope", "all");
            json.writeNumberField("memory_span_ns", kind.repeat().memorySpanNanos());
            json.writeNumberField("worth", kind.worth());
            json.writeNumberField("late_worth", 0);
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void writeNames(JsonGenerator json, String field, Set<String> values) throws IOException {
        json.writeArrayFieldStart(field);
        for (String name : values) {
            json.writeString(name);
        }
        json.writeEndArray();
    }
}
