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

/** Reads and writes the bodies of the engines' own calls, token by token. */
final class EngineJsonCodec {
    private static final int HEX_DIGITS = 16;

    private final JsonFactory factory = new JsonFactory();
    private final StringInterner strings = new StringInterner();

    /** The body of an answer to a call for events or for the list. */
    KvEventsResponse kv(byte[] body) throws IOException {
        long epoch = 0;
        long next = 0;
        boolean lost = false;
        boolean whole = false;
        List<KvEvent> events = List.of();
        try (JsonParser parser = factory.createParser(body)) {
            want(parser, parser.nextToken(), JsonToken.START_OBJECT);
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "epoch" -> {
                        epoch = parser.getLongValue();
                        whole = true;
                    }
                    case "next_page_token" -> next = parser.getLongValue();
                    case "lost" -> lost = parser.getBooleanValue();
                    case "events" -> events = items(parser, true);
                    case "held" -> events = items(parser, false);
                    default -> parser.skipChildren();
                }
            }
            want(parser, parser.currentToken(), JsonToken.END_OBJECT);
            if (!whole) {
                throw new JsonParseException(parser, "no epoch");
            }
        }
        return new KvEventsResponse(KvEventsResponse.Status.OK, epoch, next, lost, events);
    }

    private List<KvEvent> items(JsonParser parser, boolean numbered) throws IOException {
        want(parser, parser.currentToken(), JsonToken.START_ARRAY);
        List<KvEvent> events = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_ARRAY) {
            events.add(item(parser, numbered));
        }
        want(parser, parser.currentToken(), JsonToken.END_ARRAY);
        return events;
    }

    private KvEvent item(JsonParser parser, boolean numbered) throws IOException {
        boolean added = true;
        if (numbered) {
            want(parser, parser.nextToken(), JsonToken.VALUE_NUMBER_INT);
            want(parser, parser.nextToken(), JsonToken.VALUE_STRING);
            added = parser.getTextLength() == 1 && parser.getTextCharacters()[parser.getTextOffset()] == '+';
        }
        String salt = text(parser);
        want(parser, parser.nextToken(), JsonToken.VALUE_STRING);
        long part = hex(parser);
        want(parser, parser.nextToken(), JsonToken.VALUE_NUMBER_INT);
        int tokens = parser.getIntValue();
        String model = text(parser);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() == null) {
                throw new JsonParseException(parser, "cut off");
            }
            parser.skipChildren();
        }
        return new KvEvent(added, salt, part, tokens, model);
    }

    private String text(JsonParser parser) throws IOException {
        if (parser.nextToken() == JsonToken.VALUE_NULL) {
            return "";
        }
        want(parser, parser.currentToken(), JsonToken.VALUE_STRING);
        return strings.of(parser.getTextCharacters(), parser.getTextOffset(), parser.getTextLength());
    }

    private static long hex(JsonParser parser) throws IOException {
        int length = parser.getTextLength();
        int offset = parser.getTextOffset();
        char[] characters = parser.getTextCharacters();
        if (length == 0 || length > HEX_DIGITS) {
            throw new JsonParseException(parser, "no id of a part");
        }
        long value = 0;
        for (int i = offset; i < offset + length; i++) {
            int digit = Character.digit(characters[i], HEX_DIGITS);
            if (digit < 0) {
                throw new JsonParseException(parser, "no id of a part");
            }
            value = value << 4 | digit;
        }
        return value;
    }

    /** The body of a report. */
    EngineReport report(byte[] body) throws IOException {
        List<ServedModel> models = List.of();
        boolean busy = false;
        long sequence = 0;
        int queued = 0;
        int running = 0;
        long kvUsed = 0;
        long kvTotal = 0;
        try (JsonParser parser = factory.createParser(body)) {
            want(parser, parser.nextToken(), JsonToken.START_OBJECT);
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                switch (name) {
                    case "models" -> models = models(parser);
                    case "busy" -> busy = parser.getBooleanValue();
                    case "sequence" -> sequence = parser.getLongValue();
                    case "queued" -> queued = parser.getIntValue();
                    case "running" -> running = parser.getIntValue();
                    case "kv_used" -> kvUsed = parser.getLongValue();
                    case "kv_total" -> kvTotal = parser.getLongValue();
                    default -> parser.skipChildren();
                }
            }
            want(parser, parser.currentToken(), JsonToken.END_OBJECT);
        }
        return new EngineReport(models, busy, sequence, queued, running, kvUsed, kvTotal);
    }

    private List<ServedModel> models(JsonParser parser) throws IOException {
        want(parser, parser.currentToken(), JsonToken.START_ARRAY);
        List<ServedModel> models = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            models.add(model(parser));
        }
        want(parser, parser.currentToken(), JsonToken.END_ARRAY);
        return models;
    }

    private ServedModel model(JsonParser parser) throws IOException {
        String model = "";
        long version = 0;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            if (name.equals("name")) {
                model = text(parser);
            } else if (parser.nextToken() != null && name.equals("config_version")) {
                version = parser.getLongValue();
            } else {
                parser.skipChildren();
            }
        }
        want(parser, parser.currentToken(), JsonToken.END_OBJECT);
        return new ServedModel(model, version);
    }

    /** The body of an order. */
    byte[] order(WeightsOrder order) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator json = factory.createGenerator(out)) {
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
            throw new IllegalStateException("writing to memory failed", e);
        }
        return out.toByteArray();
    }

    private static void want(JsonParser parser, JsonToken found, JsonToken wanted) throws IOException {
        if (found != wanted) {
            throw new JsonParseException(parser, "not as agreed");
        }
    }
}
