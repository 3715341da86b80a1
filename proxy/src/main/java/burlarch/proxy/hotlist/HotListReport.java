package burlarch.proxy.hotlist;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.List;

/** Formats the hot list as JSON lines, one object per key, highest count first. */
final class HotListReport {
    private static final JsonFactory JSON =
            JsonFactory.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

    record Row(String className, SpaceSaving.Entry entry) {}

    private HotListReport() {}

    /**
     * Returns the rows with the highest counts; a single object with {@code entries: 0} if there are no rows.
     *
     * @param maxRows maximum number of rows
     */
    static String format(List<Row> rows, int maxRows) {
        StringWriter output = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(output)) {
            json.setRootValueSeparator(null);
            if (rows.isEmpty()) {
                json.writeStartObject();
                json.writeNumberField("entries", 0);
                json.writeEndObject();
                json.writeRaw('\n');
            }
            List<Row> topRows = rows.stream()
                    .sorted(Comparator.comparingLong((Row row) -> row.entry().count())
                            .reversed())
                    .limit(maxRows)
                    .toList();
            for (Row row : topRows) {
                writeRow(json, row);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return output.toString();
    }

    private static void writeRow(JsonGenerator json, Row row) throws IOException {
        SpaceSaving.Entry entry = row.entry();
        json.writeStartObject();
        json.writeStringField("class", row.className());
        json.writeStringField("tenant", entry.key().tenant());
        json.writeStringField("key", entry.key().key());
        json.writeNumberField("count", entry.count());
        json.writeNumberField("error", entry.error());
        json.writeNumberField("rate_per_s", Math.round(entry.requestsPerSecond() * 1000) / 1000.0);
        if (entry.key().truncated()) {
            json.writeBooleanField("truncated", true);
        }
        json.writeEndObject();
        json.writeRaw('\n');
    }
}
