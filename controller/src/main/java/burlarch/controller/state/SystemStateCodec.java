package burlarch.controller.state;

import burlarch.configuration.CompressedBytes;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DataFormatException;

/**
 * The state as bytes: one byte for the form, then CBOR, compressed, since each change of the register sends
 * and stores the whole state at every acceptor. Equal states have equal bytes. CBOR as it is, which begins
 * with another byte, is read too: it stands on disks from before.
 */
public final class SystemStateCodec {
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new CBORFactory()).enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

    private static final byte COMPRESSED = 1;
    /** The longest state before it is compressed: the longest configuration, and all that is beside it. */
    private static final int MAX_STATE_BYTES = 2 * SystemState.MAX_CONFIGURATION_BYTES;

    private SystemStateCodec() {}

    /** The register value that stores the state: a format byte, then compressed CBOR. */
    public static byte[] encode(SystemState state) {
        try {
            byte[] compressed = CompressedBytes.compress(MAPPER.writeValueAsBytes(state));
            byte[] payload = new byte[1 + compressed.length];
            payload[0] = COMPRESSED;
            System.arraycopy(compressed, 0, payload, 1, compressed.length);
            return payload;
        } catch (JsonProcessingException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    /**
     * The state in a register's payload; {@link SystemState#EMPTY} for none.
     *
     * @throws UncheckedIOException for bytes that {@link #encode} didn't make
     */
    public static SystemState decode(byte[] payload) {
        if (payload == null || payload.length == 0) {
            return SystemState.EMPTY;
        }
        try {
            byte[] plain = payload[0] == COMPRESSED ? CompressedBytes.expand(payload, 1, MAX_STATE_BYTES) : payload;
            return MAPPER.readValue(plain, SystemState.class);
        } catch (DataFormatException broken) {
            throw new UncheckedIOException(new IOException(broken));
        } catch (IOException broken) {
            throw new UncheckedIOException(broken);
        }
    }
}
