package burlarch.emulator.server;

import burlarch.emulator.model.ContinuousBatchModel.Token;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Writer of one event stream. An event at which the version of the weights changes carries the new version. */
final class EventStreamWriter {
    private final OutputStream output;
    private Long version;

    EventStreamWriter(OutputStream output, Long version) {
        this.output = output;
        this.version = version;
    }

    /** Writes a token as an event and flushes; {@code currentVersion} is null if the model has no version. */
    void write(Token token, Long currentVersion) throws IOException {
        StringBuilder event = new StringBuilder(64);
        if (currentVersion != null && !currentVersion.equals(version)) {
            version = currentVersion;
            event.append("versions: ").append(version).append('\n');
        }
        event.append("id: ")
                .append(token.number())
                .append("\ndata: word-")
                .append(token.number())
                .append(token.last() ? " end" : "")
                .append("\n\n");
        output.write(event.toString().getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
