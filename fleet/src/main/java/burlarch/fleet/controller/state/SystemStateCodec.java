package burlarch.fleet.controller.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;

/** The state as bytes (CBOR). Equal states have equal bytes. */
public final class SystemStateCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper(new CBORFactory())
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

    private SystemStateCodec() {
    }

    public static byte[] encode(SystemState state) {
        try {
            return MAPPER.writeValueAsBytes(state);
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
            return MAPPER.readValue(payload, SystemState.class);
        } catch (IOException broken) {
            throw new UncheckedIOException(broken);
        }
    }
}
