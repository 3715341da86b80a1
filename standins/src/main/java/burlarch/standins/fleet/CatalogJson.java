package burlarch.standins.fleet;

import burlarch.standins.model.Catalog;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.function.Function;

/** Encodes discovery's member list as JSON, in the form of the protocol. */
final class CatalogJson {
    private static final JsonFactory FACTORY = new JsonFactory();

    private CatalogJson() {}

    /**
     * Returns the JSON object of an update.
     *
     * @param address gives a member's host and port, by member id, as the receiving proxy reaches it
     */
    static String of(Catalog.Update update, Function<String, String> address) {
        StringWriter text = new StringWriter(256);
        try (JsonGenerator json = FACTORY.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("generation", update.generation());
            json.writeBooleanField("reset", update.reset());
            json.writeArrayFieldStart("instances");
            for (Catalog.Member member : update.members()) {
                json.writeStartObject();
                json.writeStringField("instanceId", member.id());
                json.writeStringField("hostPort", address.apply(member.id()));
                json.writeStringField("zone", member.zone());
                json.writeStringField("machineType", member.kind());
                json.writeNumberField("cell", member.cell());
                json.writeStringField("lifecycle", member.lifecycle().name());
                json.writeNumberField("weight", member.weight());
                json.writeNumberField("startedAtMs", member.startedAtMs());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }
}
