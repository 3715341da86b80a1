package burlarch.controller.state;

import burlarch.configuration.ZlibCompression;
import com.fasterxml.jackson.annotation.JsonAutoDetect.Visibility;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DataFormatException;

/**
 * Encodes a state: one byte that names the format, then compressed CBOR. It is compressed because each change of the
 * register sends and stores the complete state at every acceptor. Equal states have equal bytes. Plain CBOR, which
 * starts with another byte, is decoded too: older releases have stored it.
 */
public final class SystemStateCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper(new CBORFactory())
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            // Only what is annotated is a field: a method that is called like a getter must not add one.
            .setVisibility(PropertyAccessor.GETTER, Visibility.NONE)
            .setVisibility(PropertyAccessor.IS_GETTER, Visibility.NONE);

    private static final byte COMPRESSED = 1;
    /** The longest state before compression: the longest configuration and everything beside it. */
    private static final int MAX_STATE_BYTES = 2 * SystemState.MAX_CONFIGURATION_BYTES;

    private SystemStateCodec() {}

    /** The register value that stores the state: a format byte, then compressed CBOR. */
    /** The bytes of a state. */
    public static byte[] encode(SystemState state) {
        try {
            byte[] compressed = ZlibCompression.compress(MAPPER.writeValueAsBytes(state));
            byte[] payload = new byte[1 + compressed.length];
            payload[0] = COMPRESSED;
            System.arraycopy(compressed, 0, payload, 1, compressed.length);
            return payload;
        } catch (JsonProcessingException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    /**
     * The state in a payload of the register; {@link SystemState#EMPTY} if there is no payload.
     *
     * @throws UncheckedIOException if {@link #encode} did not write the bytes
     */
    public static SystemState decode(byte[] payload) {
        if (payload == null || payload.length == 0) {
            return SystemState.EMPTY;
        }
        try {
            byte[] plain = payload[0] == COMPRESSED ? ZlibCompression.decompress(payload, 1, MAX_STATE_BYTES) : payload;
            return MAPPER.readValue(plain, SystemState.class);
        } catch (DataFormatException broken) {
            throw new UncheckedIOException(new IOException(broken));
        } catch (IOException broken) {
            throw new UncheckedIOException(broken);
        }
    }
}
