package burlarch.transport;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.registry.InstanceState;
import com.fasterxml.jackson.annotation.JsonAutoDetect.Visibility;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.annotation.PropertyAccessor;
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
 * Turns messages into frames and back. Safe for use by several threads.
 *
 * <pre>
 *   offset  bytes  field
 *   0       4      length of all that follows, big-endian
 *   4       1      number of the message type
 *   5       n      CBOR map of the message's fields
 * </pre>
 *
 * <p><b>Compatibility.</b> Numbers and field names are fixed for good, as nodes of different programs talk with each
 * other during an upgrade. Unknown fields are ignored; absent strings, lists and byte arrays are read as empty; an
 * absent proposal number or instance state makes the message invalid.
 */
public final class FrameCodec {
    /** Length of the length field. */
    static final int HEADER_BYTES = 4;
    /** The largest value of a length field. */
    public static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int INITIAL_FRAME_BYTES = 256;
    private static final int TYPE_NUMBERS = 64;

    private final ObjectMapper mapper = mapper();
    private final MessageType[] byNumber = new MessageType[TYPE_NUMBERS];
    private final Map<Class<?>, MessageType> byClass = new HashMap<>();

    /** A message type with its number on the wire. */
    private record MessageType(int number, ObjectReader reader, ObjectWriter writer) {}

    /** Knows every type of {@link NodeMessage}. */
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
        add(15, NodeMessage.ConfirmConfiguration.class);
        add(16, NodeMessage.ConfigurationConfirmed.class);
        add(32, RegisterMessage.PrepareRequest.class);
        add(33, RegisterMessage.PrepareResponse.class);
        add(34, RegisterMessage.AcceptRequest.class);
        add(35, RegisterMessage.AcceptResponse.class);
    }

    private void add(int number, Class<?> type) {
        MessageType messageType = new MessageType(number, mapper.readerFor(type), mapper.writerFor(type));
        byNumber[number] = messageType;
        byClass.put(type, messageType);
    }

    private static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper(new CBORFactory());
        // A message type that a process never meets costs it nothing.
        mapper.disable(DeserializationFeature.EAGER_DESERIALIZER_FETCH);
        mapper.disable(SerializationFeature.EAGER_SERIALIZER_FETCH);
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
        // Only what is annotated is a field: a method that is called like a getter must not add one.
        mapper.setVisibility(PropertyAccessor.GETTER, Visibility.NONE);
        mapper.setVisibility(PropertyAccessor.IS_GETTER, Visibility.NONE);
        WireFieldNames.apply(mapper);
        JsonSetter.Value empty = JsonSetter.Value.forValueNulls(Nulls.AS_EMPTY, Nulls.FAIL);
        mapper.configOverride(String.class).setSetterInfo(empty);
        mapper.configOverride(byte[].class).setSetterInfo(empty);
        mapper.configOverride(List.class).setSetterInfo(empty);
        JsonSetter.Value required = JsonSetter.Value.forValueNulls(Nulls.FAIL);
        mapper.configOverride(ProposalNumber.class).setSetterInfo(required);
        mapper.configOverride(InstanceState.class).setSetterInfo(required);
        return mapper;
    }

    /**
     * Returns the complete frame of a message, which may be sent any number of times.
     *
     * @throws IllegalArgumentException if the message is larger than a frame may be
     */
    public byte[] encode(NodeMessage message) {
        Object body = message instanceof NodeMessage.RegisterProtocol register ? register.message() : message;
        MessageType type = byClass.get(body.getClass());
        FrameOutput output = new FrameOutput();
        output.reserveHeader(type.number());
        try {
            type.writer().writeValue(output, body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return output.frame();
    }

    /**
     * Decodes a frame without its length field.
     *
     * @param bytes holds the number of the message type at {@code offset} and the body behind it
     * @throws FrameException if this is no message of a known type
     */
    public NodeMessage decode(byte[] bytes, int offset, int length) throws FrameException {
        if (length < 1) {
            throw new FrameException("empty frame");
        }
        int number = bytes[offset] & 0xff;
        MessageType type = number < TYPE_NUMBERS ? byNumber[number] : null;
        if (type == null) {
            throw new FrameException("unknown kind of message: " + number);
        }
        Object body = readBody(type, bytes, offset + 1, length - 1);
        if (body == null) {
            throw new FrameException("no message in a frame of kind " + number);
        }
        return body instanceof RegisterMessage register
                ? new NodeMessage.RegisterProtocol(register)
                : (NodeMessage) body;
    }

    private static Object readBody(MessageType type, byte[] bytes, int offset, int length) throws FrameException {
        try {
            return type.reader().readValue(bytes, offset, length);
        } catch (JsonProcessingException e) {
            throw new FrameException("garbled message of kind " + type.number() + ": " + e.getOriginalMessage(), e);
        } catch (IOException | RuntimeException e) {
            throw new FrameException("garbled message of kind " + type.number(), e);
        }
    }

    /** Collects the bytes of one frame; the length is filled in at the end, when it is known. */
    private static final class FrameOutput extends ByteArrayOutputStream {
        FrameOutput() {
            super(INITIAL_FRAME_BYTES);
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
