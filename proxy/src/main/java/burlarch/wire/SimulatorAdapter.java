package burlarch.wire;

import static burlarch.wire.Instance.indexOf;

import burlarch.decisions.Api.Ended;
import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Request;
import burlarch.decisions.Api.Server;
import burlarch.decisions.Api.Stage;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Adapter between the simulator and the decision policy. Hosts any number of policy instances; for each line of
 * events (a batch, one JSON object) it writes one line with the actions that they cause. Single-threaded.
 */
public final class SimulatorAdapter {
    /** Bit of {@code state_bits}: the request's {@code effort_ns} is known. */
    private static final int KNOWN_WORK_BIT = 1;
    /** Bit of {@code state_bits}: the request is a write. */
    private static final int WRITE_BIT = 4;

    /** Policy instances by their number on the wire. */
    private final Map<Integer, Instance> instances = new HashMap<>();
    /** Server lists by their table number. */
    private final Map<Integer, List<ListedServer>> serverTables = new HashMap<>();

    private final Event event = new Event();

    /** An entry of a server list. Model and zone are names; each instance maps them to numbers by its settings. */
    private record ListedServer(
            long id, long bootNanos, double size, int cell, Stage stage, String model, String zone) {}

    /** Fields of the event being read; those that the event lacks have their default values. */
    private static final class Event {
        int instanceNumber;
        long requestId;
        long serverId;
        long deadlineNanos;
        long workNanos;
        long elapsedNanos;
        long seed;
        int stateBits;
        int tableNumber;
        int attempt;
        boolean complete;
        String requestClassName;
        String tenant;
        String key;
        String kind;
        String outcomeCode;
        String token;
        Json config;
        List<ListedServer> listedServers;

        void clear() {
            instanceNumber = -1;
            requestId = serverId = deadlineNanos = workNanos = elapsedNanos = seed = 0;
            stateBits = tableNumber = attempt = 0;
            complete = false;
            requestClassName = tenant = key = kind = outcomeCode = token = null;
            config = null;
            listedServers = null;
        }
    }

    /**
     * Runs the adapter on standard input and output until the input ends. Exits with status 2 if the arguments
     * are wrong and with 1 if the input violates the protocol.
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: burlarch drill   (reads events on standard input, writes actions)");
            System.exit(2);
        }
        try {
            new SimulatorAdapter().run(System.in, System.out);
        } catch (WireException e) {
            System.err.println("burlarch: " + e.getMessage());
            System.exit(1);
        }
    }

    /** The input violates the protocol. */
    static final class WireException extends IOException {
        private static final long serialVersionUID = 1L;

        WireException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** Processes batches until the input ends, and flushes the output after each. */
    void run(InputStream input, OutputStream output) throws IOException {
        JsonFactory factory = JsonFactory.builder().build();
        OutputStream buffered = new BufferedOutputStream(output, 1 << 16);
        try (JsonParser parser = factory.createParser(input);
                JsonGenerator generator = factory.createGenerator(buffered)) {
            generator.setRootValueSeparator(null);
            while (readBatchStart(parser)) {
                handleBatch(parser, generator);
                generator.writeRaw('\n');
                generator.flush();
            }
        }
    }

    private static boolean readBatchStart(JsonParser parser) throws IOException {
        try {
            JsonToken token = parser.nextToken();
            if (token != null && token != JsonToken.START_OBJECT) {
                throw new IOException("batch must be an object, not " + token);
            }
            return token != null;
        } catch (IOException e) {
            throw new WireException("malformed batch: " + e.getMessage(), e);
        }
    }

    private void handleBatch(JsonParser parser, JsonGenerator generator) throws IOException {
        generator.writeStartObject();
        generator.writeArrayFieldStart("decisions");
        long nowNanos = 0;
        String eventName = "batch";
        try {
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String field = parser.currentName();
                JsonToken value = parser.nextToken();
                if (field.equals("clock_ns")) {
                    nowNanos = parser.getLongValue();
                } else if (field.equals("happened") && value == JsonToken.START_ARRAY) {
                    while (parser.nextToken() != JsonToken.END_ARRAY) {
                        parser.nextToken();
                        eventName = parser.currentName();
                        parser.nextToken();
                        event.clear();
                        readFields(parser);
                        parser.nextToken();
                        handle(eventName, nowNanos, generator);
                    }
                } else {
                    parser.skipChildren();
                }
            }
        } catch (IOException e) {
            throw new WireException(
                    "instance " + event.instanceNumber + ", event " + eventName + ": " + e.getMessage(), e);
        }
        generator.writeEndArray();
        generator.writeEndObject();
    }

    private void readFields(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("fields of an event must be an object");
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            if (parser.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (field) {
                case "who" -> event.instanceNumber = parser.getIntValue();
                case "ref" -> event.requestId = parser.getLongValue();
                case "node" -> event.serverId = parser.getLongValue();
                case "drop_dead_ns" -> event.deadlineNanos = parser.getLongValue();
                case "effort_ns" -> event.workNanos = parser.getLongValue();
                case "elapsed_ns" -> event.elapsedNanos = parser.getLongValue();
                case "prng" -> event.seed = readSeed(parser);
                case "state_bits" -> event.stateBits = parser.getIntValue();
                case "table" -> event.tableNumber = parser.getIntValue();
                case "hop" -> event.attempt = parser.getIntValue();
                case "complete" -> event.complete = parser.getBooleanValue();
                case "profile" -> event.requestClassName = parser.getText();
                case "billing" -> event.tenant = parser.getText();
                case "resource" -> event.key = parser.getText();
                case "kind" -> event.kind = parser.getText();
                case "state_code" -> event.outcomeCode = parser.getText();
                case "token" -> event.token = parser.getText();
                case "config" -> event.config = Json.read(parser);
                case "rows" -> event.listedServers = readRows(parser);
                default -> parser.skipChildren();
            }
        }
    }

    /** Reads a seed, an unsigned 64-bit number. */
    private static long readSeed(JsonParser parser) throws IOException {
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? parser.getBigIntegerValue().longValue()
                : parser.getLongValue();
    }

    private static List<ListedServer> readRows(JsonParser parser) throws IOException {
        List<ListedServer> listedServers = new ArrayList<>();
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw new IOException("rows must be an array");
        }
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Json row = Json.read(parser);
            Stage stage =
                    switch (row.get("stage_state").text("")) {
                        case "IN" -> Stage.IN;
                        case "OUT" -> Stage.OUT;
                        default -> Stage.LAME;
                    };
            listedServers.add(new ListedServer(
                    row.get("node").integer(0),
                    row.get("boot_time_ns").integer(0),
                    Math.max(1e-9, row.get("scale").number(1)),
                    (int) row.get("stripe").integer(0),
                    stage,
                    row.get("generation_hw").text(""),
                    row.get("az").text("")));
        }
        return listedServers;
    }

    private void handle(String eventName, long nowNanos, JsonGenerator generator) throws IOException {
        switch (eventName) {
            case "SHEET" -> serverTables.put(
                    event.tableNumber, event.listedServers == null ? List.of() : event.listedServers);
            case "INIT" -> {
                ReplyWriter writer = new ReplyWriter(generator, event.instanceNumber);
                if (event.config == null) {
                    throw new IOException("settings are missing");
                }
                callReportingFailure(
                        eventName,
                        generator,
                        () -> instances.put(event.instanceNumber, new Instance(event.config, event.seed, writer)));
            }
            case "SHUTDOWN" -> instances.remove(event.instanceNumber);
            default -> {
                Instance instance = instances.get(event.instanceNumber);
                if (instance != null) {
                    callReportingFailure(eventName, generator, () -> deliver(eventName, nowNanos, instance));
                }
            }
        }
    }

    /** Calls the policy; reports an exception to the simulator as a PANIC action with the instance and the event. */
    private void callReportingFailure(String eventName, JsonGenerator generator, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            new ReplyWriter(generator, event.instanceNumber)
                    .panic("instance " + event.instanceNumber + ", event " + eventName + ": " + e);
        }
    }

    private void deliver(String eventName, long nowNanos, Instance instance) {
        switch (eventName) {
            case "QUERY" -> instance.policy.onRequest(
                    nowNanos,
                    new Request(
                            event.requestId,
                            indexOf(instance.classes, event.requestClassName),
                            indexOf(instance.tenants, event.tenant),
                            event.key != null,
                            event.key == null ? 0 : digest(event.key),
                            event.deadlineNanos,
                            (event.stateBits & KNOWN_WORK_BIT) != 0 ? event.workNanos : 0,
                            (event.stateBits & WRITE_BIT) != 0));
            case "REPLY" -> {
                Outcome outcome = parseOutcome(event.outcomeCode);
                instance.policy.onEnded(
                        nowNanos,
                        new Ended(
                                event.requestId,
                                event.attempt,
                                event.serverId,
                                outcome,
                                event.complete,
                                event.elapsedNanos));
            }
            case "HEAD_RECEIVED" -> instance.policy.onResponseStarted(nowNanos, event.requestId);
            case "LEFT" -> instance.policy.onClientGone(nowNanos, event.requestId);
            case "TIMEOUT_FIRED" -> instance.policy.onTimer(nowNanos, parseTimerToken(event.token));
            case "FLEET" -> deliverServerList(nowNanos, instance);
            default -> {}
        }
    }

    /** Parses the token of a timer; returns a number that the policy does not use if it is not one of the policy's. */
    private static long parseTimerToken(String token) {
        try {
            return Long.parseLong(token);
        } catch (NumberFormatException e) {
            return Long.MIN_VALUE;
        }
    }

    /** Parses an outcome. An unknown one is taken as BAD, the outcome of a request that may have been executed. */
    private static Outcome parseOutcome(String code) {
        for (Outcome outcome : Outcome.values()) {
            if (outcome.name().equals(code)) {
                return outcome;
            }
        }
        return Outcome.BAD;
    }

    private void deliverServerList(long nowNanos, Instance instance) {
        ListKind kind =
                switch (event.kind == null ? "" : event.kind) {
                    case "update" -> ListKind.UPDATE;
                    case "replace" -> ListKind.REPLACE;
                    case "restored" -> ListKind.RESTORED;
                    case "unavailable" -> ListKind.UNAVAILABLE;
                    default -> null;
                };
        if (kind == null) {
            return;
        }
        List<Server> servers = new ArrayList<>();
        if (kind != ListKind.UNAVAILABLE) {
            for (ListedServer server : serverTables.getOrDefault(event.tableNumber, List.of())) {
                servers.add(new Server(
                        server.id,
                        server.bootNanos,
                        server.size,
                        server.cell,
                        server.stage,
                        indexOf(instance.models, server.model),
                        indexOf(instance.zones, server.zone)));
            }
        }
        instance.policy.onList(nowNanos, kind, servers);
    }

    /**
     * Converts a key to 64 bits. A key of up to 16 hexadecimal digits is its numeric value; any other text is
     * hashed with FNV-1a over its UTF-16 code units.
     */
    public static long digest(String key) {
        long bits = 0;
        boolean isHex = key.length() <= 16;
        for (int i = 0; i < key.length(); i++) {
            int digit = isHex ? Character.digit(key.charAt(i), 16) : -1;
            if (digit < 0) {
                isHex = false;
                break;
            }
            bits = bits << 4 | digit;
        }
        if (isHex) {
            return bits;
        }
        bits = 0xCBF29CE484222325L;
        for (int i = 0; i < key.length(); i++) {
            bits = (bits ^ key.charAt(i)) * 0x100000001B3L;
        }
        return bits;
    }
}
