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
 * Codec of {@link SystemState}: one format byte, then compressed CBOR. The state is compressed because each change of
 * the register sends the complete state to every acceptor, which stores it. Equal states have equal bytes. Plain CBOR,
 * which older releases stored, is decoded too; it starts with a different byte.
 */
public final class SystemStateCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper(new CBORFactory())
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            // Only annotated components are fields; a method that is named like a getter must not add one.
            .setVisibility(PropertyAccessor.GETTER, Visibility.NONE)
            .setVisibility(PropertyAccessor.IS_GETTER, Visibility.NONE);

    private static final byte COMPRESSED = 1;
    /** Limit of a state's size before compression: the largest configuration and as much for everything else. */
    private static final int MAX_STATE_BYTES = 2 * SystemState.MAX_CONFIGURATION_BYTES;

    private SystemStateCodec() {}

    /** Encodes a state as a register payload: a format byte, then compressed CBOR. */
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
     * Decodes a register payload; {@link SystemState#EMPTY} if the payload is null or empty.
     *
     * @throws UncheckedIOException if the payload is damaged or has an unknown format
     */
    public static SystemState decode(byte[] payload) {
        if (payload == null || payload.length == 0) {
            return SystemState.EMPTY;
        }
        try {
            byte[] cbor = payload[0] == COMPRESSED ? ZlibCompression.decompress(payload, 1, MAX_STATE_BYTES) : payload;
            return MAPPER.readValue(cbor, SystemState.class);
        } catch (DataFormatException malformed) {
            throw new UncheckedIOException(new IOException(malformed));
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
    }
}
