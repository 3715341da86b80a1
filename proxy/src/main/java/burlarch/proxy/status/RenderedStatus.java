package burlarch.proxy.status;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A status snapshot rendered as HTML and as JSON.
 *
 * @param html the HTML page in UTF-8
 * @param json the JSON document in UTF-8
 */
record RenderedStatus(byte[] html, byte[] json) {
    private static final JsonFactory JSON = new JsonFactory();

    static RenderedStatus of(Snapshot snapshot) {
        return new RenderedStatus(
                html(snapshot).getBytes(StandardCharsets.UTF_8), json(snapshot).getBytes(StandardCharsets.UTF_8));
    }

    private static double roundToTenth(double rate) {
        return Math.round(rate * 10) / 10.0;
    }

    private static String json(Snapshot snapshot) {
        StringWriter output = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(output)) {
            json.writeStartObject();
            json.writeStringField("version", snapshot.version());
            json.writeNumberField("uptime_s", snapshot.uptimeSeconds());
            json.writeBooleanField("stale", snapshot.stale());
            json.writeArrayFieldStart("servers");
            for (Snapshot.Server server : snapshot.servers()) {
                json.writeStartObject();
                json.writeStringField("instanceId", server.instanceId());
                json.writeStringField("hostPort", server.hostPort());
                json.writeStringField("lifecycle", server.lifecycle());
                json.writeArrayFieldStart("errors");
                for (String error : server.errors()) {
                    json.writeString(error);
                }
                json.writeEndArray();
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeArrayFieldStart("load");
            for (Snapshot.RequestClassLoad classLoad : snapshot.load()) {
                json.writeStartObject();
                json.writeStringField("class", classLoad.className());
                json.writeNumberField("requests_per_s", roundToTenth(classLoad.requestsPerSecond()));
                json.writeNumberField("in_flight", classLoad.inFlight());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return output + "\n";
    }

    private static String html(Snapshot snapshot) {
        StringBuilder text = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\">\n<head>"
                        + "<meta charset=\"utf-8\"><title>burlarch status</title></head>\n<body>\n<h1>burlarch</h1>\n"
                        + "<p>Version ")
                .append(escapeHtml(snapshot.version()))
                .append(", up for ")
                .append(snapshot.uptimeSeconds())
                .append(" s</p>\n<h2>Load</h2>\n<table border=\"1\">\n"
                        + "<tr><th>class</th><th>requests per second</th><th>in flight</th></tr>\n");
        for (Snapshot.RequestClassLoad classLoad : snapshot.load()) {
            appendRow(
                    text,
                    classLoad.className(),
                    String.format(Locale.ROOT, "%.1f", classLoad.requestsPerSecond()),
                    Integer.toString(classLoad.inFlight()));
        }
        text.append("</table>\n<h2>Servers</h2>\n");
        if (snapshot.stale()) {
            text.append("<p>stale: discovery has not answered yet</p>\n");
        }
        text.append("<table border=\"1\">\n<tr><th>instanceId</th><th>hostPort</th><th>lifecycle</th>"
                + "<th>last errors (UTC)</th></tr>\n");
        for (Snapshot.Server server : snapshot.servers()) {
            appendRow(
                    text,
                    server.instanceId(),
                    server.hostPort(),
                    server.lifecycle(),
                    String.join(", ", server.errors()));
        }
        return text.append("</table>\n</body>\n</html>\n").toString();
    }

    private static void appendRow(StringBuilder text, String... cells) {
        text.append("<tr>");
        for (String cell : cells) {
            text.append("<td>").append(escapeHtml(cell)).append("</td>");
        }
        text.append("</tr>\n");
    }

    /** Escapes text for HTML; names come from discovery and the settings and may contain any character. */
    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;")
                .replace("'", "&#39;");
    }
}
