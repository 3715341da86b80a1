package burlarch.engine;

import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.rollout.EngineReport;
import burlarch.routing.KvEvents.KvEvent;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Streaming codec for the JSON bodies of the control calls to engines and KV stores. Unknown fields are skipped; a body
 * that is not of the expected form causes an {@link IOException}. Thread-safe.
 */
final class EngineJsonCodec {
    /** Radix of a segment id, and the most digits that a 64-bit id has. */
    private static final int HEX_DIGITS = 16;

    private final JsonFactory factory = new JsonFactory();
    private final StringInterner interner = new StringInterner();

    /** Parses the response to a call for events or for a snapshot. The field {@code epoch} is required. */
    KvEventsResponse readKvEvents(byte[] body) throws IOException {
        long epoch = 0;
        long nextOffset = 0;
        boolean lost = false;
        boolean epochRead = false;
        List<KvEvent> events = List.of();
        try (JsonParser parser = factory.createParser(body)) {
            expect(parser, parser.nextToken(), JsonToken.START_OBJECT);
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "epoch" -> {
                        epoch = parser.getLongValue();
                        epochRead = true;
                    }
                    case "next_page_token" -> nextOffset = parser.getLongValue();
                    case "lost" -> lost = parser.getBooleanValue();
                    case "events" -> events = readNumberedEvents(parser);
                    case "held" -> events = readSnapshotEntries(parser);
                    default -> parser.skipChildren();
                }
            }
            expect(parser, parser.currentToken(), JsonToken.END_OBJECT);
            if (!epochRead) {
                throw new JsonParseException(parser, "required field epoch is missing");
            }
        }
        return new KvEventsResponse(KvEventsResponse.Status.OK, epoch, nextOffset, lost, events);
    }

    /** Parses an array of events of the form [number, "+" or "-", salt, segment, tokens, model, ...]. */
    private List<KvEvent> readNumberedEvents(JsonParser parser) throws IOException {
        expect(parser, parser.currentToken(), JsonToken.START_ARRAY);
        List<KvEvent> events = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_ARRAY) {
            expect(parser, parser.nextToken(), JsonToken.VALUE_NUMBER_INT);
            expect(parser, parser.nextToken(), JsonToken.VALUE_STRING);
            boolean added = parser.getTextLength() == 1 && parser.getTextCharacters()[parser.getTextOffset()] == '+';
            events.add(readSegmentFields(parser, added));
        }
        expect(parser, parser.currentToken(), JsonToken.END_ARRAY);
        return events;
    }

    /** Parses an array of cached segments of the form [salt, segment, tokens, model, ...]. */
    private List<KvEvent> readSnapshotEntries(JsonParser parser) throws IOException {
        expect(parser, parser.currentToken(), JsonToken.START_ARRAY);
        List<KvEvent> entries = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_ARRAY) {
            entries.add(readSegmentFields(parser, true));
        }
        expect(parser, parser.currentToken(), JsonToken.END_ARRAY);
        return entries;
    }

    private KvEvent readSegmentFields(JsonParser parser, boolean added) throws IOException {
        String salt = readText(parser);
        expect(parser, parser.nextToken(), JsonToken.VALUE_STRING);
        long segment = readSegmentId(parser);
        expect(parser, parser.nextToken(), JsonToken.VALUE_NUMBER_INT);
        int tokens = parser.getIntValue();
        String model = readText(parser);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() == null) {
                throw new JsonParseException(parser, "truncated");
            }
            parser.skipChildren();
        }
        return new KvEvent(added, salt, segment, tokens, model);
    }

    private String readText(JsonParser parser) throws IOException {
        if (parser.nextToken() == JsonToken.VALUE_NULL) {
            return "";
        }
        expect(parser, parser.currentToken(), JsonToken.VALUE_STRING);
        return interner.intern(parser.getTextCharacters(), parser.getTextOffset(), parser.getTextLength());
    }

    private static long readSegmentId(JsonParser parser) throws IOException {
        int length = parser.getTextLength();
        int offset = parser.getTextOffset();
        char[] characters = parser.getTextCharacters();
        if (length == 0 || length > HEX_DIGITS) {
            throw new JsonParseException(parser, "segment id must consist of 1 to 16 hexadecimal digits");
        }
        long value = 0;
        for (int i = offset; i < offset + length; i++) {
            int digit = Character.digit(characters[i], HEX_DIGITS);
            if (digit < 0) {
                throw new JsonParseException(parser, "segment id must consist of 1 to 16 hexadecimal digits");
            }
            value = value << 4 | digit;
        }
        return value;
    }

    /** Parses the report of an engine; a field that is absent counts as 0, false or empty. */
    EngineReport readReport(byte[] body) throws IOException {
        List<ServedModel> models = List.of();
        boolean busy = false;
        long sequence = 0;
        int queued = 0;
        int running = 0;
        long kvUsed = 0;
        long kvTotal = 0;
        try (JsonParser parser = factory.createParser(body)) {
            expect(parser, parser.nextToken(), JsonToken.START_OBJECT);
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "models" -> models = readModels(parser);
                    case "busy" -> busy = parser.getBooleanValue();
                    case "sequence" -> sequence = parser.getLongValue();
                    case "queued" -> queued = parser.getIntValue();
                    case "running" -> running = parser.getIntValue();
                    case "kv_used" -> kvUsed = parser.getLongValue();
                    case "kv_total" -> kvTotal = parser.getLongValue();
                    default -> parser.skipChildren();
                }
            }
            expect(parser, parser.currentToken(), JsonToken.END_OBJECT);
        }
        return new EngineReport(models, busy, sequence, queued, running, kvUsed, kvTotal);
    }

    private List<ServedModel> readModels(JsonParser parser) throws IOException {
        expect(parser, parser.currentToken(), JsonToken.START_ARRAY);
        List<ServedModel> models = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            models.add(readModel(parser));
        }
        expect(parser, parser.currentToken(), JsonToken.END_ARRAY);
        return models;
    }

    private ServedModel readModel(JsonParser parser) throws IOException {
        String model = "";
        long version = 0;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            if (name.equals("name")) {
                model = readText(parser);
            } else if (parser.nextToken() != null && name.equals("config_version")) {
                version = parser.getLongValue();
            } else {
                parser.skipChildren();
            }
        }
        expect(parser, parser.currentToken(), JsonToken.END_OBJECT);
        return new ServedModel(model, version);
    }

    /** Serializes an order to load weights; {@code if_revision} is omitted if the order applies to any revision. */
    byte[] writeOrder(WeightsOrder order) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream(256);
        try (JsonGenerator json = factory.createGenerator(buffer)) {
            json.writeStartObject();
            json.writeStringField("op", "config_version");
            json.writeStringField("model", order.model());
            json.writeNumberField("config_version", order.version());
            json.writeStringField("mode", order.mode().wireName());
            json.writeStringField("holder", order.holder());
            json.writeNumberField("fence_token", order.fenceToken());
            if (order.ifRevision() != WeightsOrder.ANY_REVISION) {
                json.writeNumberField("if_revision", order.ifRevision());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("cannot write JSON to a buffer in memory", e);
        }
        return buffer.toByteArray();
    }

    private static void expect(JsonParser parser, JsonToken found, JsonToken expected) throws IOException {
        if (found != expected) {
            throw new JsonParseException(parser, "unexpected JSON token");
        }
    }
}
