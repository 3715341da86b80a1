package burlarch.emulator.server;

import burlarch.emulator.model.ContinuousBatchModel.Token;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Writes the events of one stream. An event at which the weights version changes names the new one. */
final class EventStreamWriter {
    private final OutputStream out;
    private Long version;

    EventStreamWriter(OutputStream out, Long version) {
        this.out = out;
        this.version = version;
    }

    void write(Token token, Long versionNow) throws IOException {
        StringBuilder event = new StringBuilder(64);
        if (versionNow != null && !versionNow.equals(version)) {
            version = versionNow;
            event.append("versions: ").append(version).append('\n');
        }
        event.append("id: ")
                .append(token.number())
                .append("\ndata: word-")
                .append(token.number())
                .append(token.last() ? " end" : "")
                .append("\n\n");
        out.write(event.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
