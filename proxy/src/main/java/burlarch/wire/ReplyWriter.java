package burlarch.wire;

import burlarch.decisions.Api;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes the actions of one policy instance to the adapter's output, in the simulator's format. */
final class ReplyWriter implements Api.Actions {
    private final JsonGenerator generator;
    private final int instanceNumber;

    ReplyWriter(JsonGenerator generator, int instanceNumber) {
        this.generator = generator;
        this.instanceNumber = instanceNumber;
    }

    @FunctionalInterface
    private interface FieldWriter {
        void write() throws IOException;
    }

    private void writeAction(String name, FieldWriter fieldWriter) {
        try {
            generator.writeStartObject();
            generator.writeObjectFieldStart(name);
            generator.writeNumberField("who", instanceNumber);
            fieldWriter.write();
            generator.writeEndObject();
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void send(long request, long server, long abandonAtNanos) {
        writeAction("HAND_OFF", () -> {
            generator.writeNumberField("ref", request);
            generator.writeNumberField("node", server);
            generator.writeNumberField("abandon_at_ns", abandonAtNanos);
        });
    }

    @Override
    public void cancel(long request, int attempt) {
        writeAction("CALL_OFF", () -> {
            generator.writeNumberField("ref", request);
            generator.writeNumberField("hop", attempt);
        });
    }

    @Override
    public void refuse(long request, long retryAfterNanos) {
        writeAction("REFUSE", () -> {
            generator.writeNumberField("ref", request);
            if (retryAfterNanos > 0) {
                generator.writeNumberField("come_back_ns", retryAfterNanos);
            }
        });
    }

    @Override
    public void fail(long request) {
        writeAction("ABORT", () -> generator.writeNumberField("ref", request));
    }

    @Override
    public void timer(long spanNanos, long token) {
        writeAction("SLEEP", () -> {
            generator.writeNumberField("span_ns", spanNanos);
            generator.writeStringField("token", Long.toString(token));
        });
    }

    /** Does nothing: the simulator's protocol has no such action, the simulator decides when connections close. */
    @Override
    public void trim(long server, long idleNanos) {}

    @Override
    public void closeIdleConnections(long server) {
        writeAction("LET_GO", () -> generator.writeNumberField("node", server));
    }

    @Override
    public void watchList() {
        writeAction("OBSERVE", () -> generator.writeBooleanField("on", true));
    }

    @Override
    public void log(String text) {
        writeAction("DEBUG", () -> generator.writeStringField("note_text", text));
    }

    /** Reports a failure of the instance or of the adapter. */
    void panic(String text) {
        writeAction("PANIC", () -> generator.writeStringField("note_text", text));
    }
}
