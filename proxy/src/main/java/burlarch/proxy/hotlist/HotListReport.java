package burlarch.proxy.hotlist;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.List;

/** The hot list as its reader gets it: a JSON object a line, the highest count first. */
final class HotListReport {
    private static final JsonFactory JSON =
            JsonFactory.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

    record Row(String className, SpaceSaving.Entry entry) {}

    private HotListReport() {}

    static String text(List<Row> rows, int show) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.setRootValueSeparator(null);
            if (rows.isEmpty()) {
                json.writeStartObject();
                json.writeNumberField("entries", 0);
                json.writeEndObject();
                json.writeRaw('\n');
            }
            List<Row> top = rows.stream()
                    .sorted(Comparator.comparingLong((Row row) -> row.entry().count())
                            .reversed())
                    .limit(show)
                    .toList();
            for (Row row : top) {
                write(json, row);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void write(JsonGenerator json, Row row) throws IOException {
        SpaceSaving.Entry entry = row.entry();
        json.writeStartObject();
        json.writeStringField("class", row.className());
        json.writeStringField("tenant", entry.key().tenant());
        json.writeStringField("key", entry.key().key());
        json.writeNumberField("count", entry.count());
        json.writeNumberField("error", entry.error());
        json.writeNumberField("rate_per_s", Math.round(entry.perSecond() * 1000) / 1000.0);
        if (entry.key().truncated()) {
            json.writeBooleanField("truncated", true);
        }
        json.writeEndObject();
        json.writeRaw('\n');
    }
}
