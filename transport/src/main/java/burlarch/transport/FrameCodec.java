package burlarch.transport;

import burlarch.coordination.register.Ballot;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.registry.InstanceState;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Messages as frames: four bytes of length, which counts what follows them, one byte that numbers the kind of
 * message, and a CBOR map. The numbers are fixed for good; fields that are not known are passed over, absent
 * texts, lists and bytes are empty. May be used by several threads.
 */
public final class FrameCodec {
    /** The length field. */
    static final int HEADER_BYTES = 4;
    /** The most that a length field may say. */
    public static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int INITIAL_BYTES = 256;
    private static final int KINDS = 64;

    private final ObjectMapper mapper = mapper();
    private final Kind[] byNumber = new Kind[KINDS];
    private final Map<Class<?>, Kind> byClass = new HashMap<>();

    /** One kind of message. */
    private record Kind(int number, ObjectReader reader, ObjectWriter writer) {}

    public FrameCodec() {
        add(1, NodeMessage.Hello.class);
        add(2, NodeMessage.Ping.class);
        add(3, NodeMessage.Committed.class);
        add(4, NodeMessage.ControllerStatus.class);
        add(5, NodeMessage.FetchCommitted.class);
        add(6, NodeMessage.ConfigurationUpdate.class);
        add(7, NodeMessage.ConfigurationAck.class);
        add(8, NodeMessage.InstancesUpdate.class);
        add(9, NodeMessage.InstancesAck.class);
        add(10, NodeMessage.InstanceAnnouncements.class);
        add(11, NodeMessage.FleetUpdate.class);
        add(12, NodeMessage.PrefixCacheEvents.class);
        add(13, NodeMessage.ConfigurationChange.class);
        add(14, NodeMessage.FetchConfiguration.class);
        add(32, RegisterMessage.Prepare.class);
        add(33, RegisterMessage.Promise.class);
        add(34, RegisterMessage.Accept.class);
        add(35, RegisterMessage.Accepted.class);
    }

    private void add(int number, Class<?> type) {
        Kind kind = new Kind(number, mapper.readerFor(type), mapper.writerFor(type));
        byNumber[number] = kind;
        byClass.put(type, kind);
    }

    private static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper(new CBORFactory());
        // A kind of message that a process never meets costs it nothing.
        mapper.disable(DeserializationFeature.EAGER_DESERIALIZER_FETCH);
        mapper.disable(SerializationFeature.EAGER_SERIALIZER_FETCH);
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
        WireFieldNames.apply(mapper);
        JsonSetter.Value empty = JsonSetter.Value.forValueNulls(Nulls.AS_EMPTY, Nulls.FAIL);
        mapper.configOverride(String.class).setSetterInfo(empty);
        mapper.configOverride(byte[].class).setSetterInfo(empty);
        mapper.configOverride(List.class).setSetterInfo(empty);
        JsonSetter.Value needed = JsonSetter.Value.forValueNulls(Nulls.FAIL);
        mapper.configOverride(Ballot.class).setSetterInfo(needed);
        mapper.configOverride(InstanceState.class).setSetterInfo(needed);
        return mapper;
    }

    /**
     * The whole frame, ready to be sent any number of times.
     *
     * @throws IllegalArgumentException where the message is larger than a frame may be
     */
    public byte[] encode(NodeMessage message) {
        Object body = message instanceof NodeMessage.RegisterProtocol register ? register.message() : message;
        Kind kind = byClass.get(body.getClass());
        FrameOutput output = new FrameOutput();
        output.reserveHeader(kind.number());
        try {
            kind.writer().writeValue(output, body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return output.frame();
    }

    /**
     * Reads what follows a length field.
     *
     * @param bytes holds the number of the kind at {@code offset} and the body behind it
     */
    public NodeMessage decode(byte[] bytes, int offset, int length) throws FrameException {
        if (length < 1) {
            throw new FrameException("empty frame");
        }
        int number = bytes[offset] & 0xff;
        Kind kind = number < KINDS ? byNumber[number] : null;
        if (kind == null) {
            throw new FrameException("unknown kind of message: " + number);
        }
        Object body;
        try {
            body = kind.reader().readValue(bytes, offset + 1, length - 1);
        } catch (JsonProcessingException e) {
            throw new FrameException("garbled message of kind " + number + ": " + e.getOriginalMessage(), e);
        } catch (IOException | RuntimeException e) {
            throw new FrameException("garbled message of kind " + number, e);
        }
        if (body == null) {
            throw new FrameException("no message in a frame of kind " + number);
        }
        return body instanceof RegisterMessage register
                ? new NodeMessage.RegisterProtocol(register)
                : (NodeMessage) body;
    }

    /** Collects one frame and fills its length in at the end. */
    private static final class FrameOutput extends ByteArrayOutputStream {
        FrameOutput() {
            super(INITIAL_BYTES);
        }

        void reserveHeader(int number) {
            count = HEADER_BYTES;
            write(number);
        }

        byte[] frame() {
            int length = count - HEADER_BYTES;
            if (length > MAX_FRAME_BYTES) {
                throw new IllegalArgumentException("message of " + length + " bytes");
            }
            byte[] frame = toByteArray();
            ByteBuffer.wrap(frame).putInt(0, length);
            return frame;
        }
    }
}
