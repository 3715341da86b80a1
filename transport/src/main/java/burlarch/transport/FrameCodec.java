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
 * Encodes messages into frames and decodes them. Thread-safe.
 *
 * <pre>
 *   offset  bytes  field
 *   0       4      length of the rest of the frame, big-endian
 *   4       1      number of the message type
 *   5       n      CBOR map of the message's fields
 * </pre>
 *
 * <p><b>Compatibility.</b> Type numbers and field names never change, since nodes of different releases communicate
 * during an upgrade. Unknown fields are ignored; absent strings, lists and byte arrays are read as empty; a message
 * without a required proposal number or instance state is invalid.
 */
public final class FrameCodec {
    /** Size of the length field. */
    static final int HEADER_BYTES = 4;
    /** Maximum value of the length field. */
    public static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int INITIAL_FRAME_BYTES = 256;
    private static final int TYPE_NUMBER_LIMIT = 64;

    private final ObjectMapper mapper = mapper();
    private final MessageType[] typesByNumber = new MessageType[TYPE_NUMBER_LIMIT];
    private final Map<Class<?>, MessageType> typesByClass = new HashMap<>();

    /** A message type with its number on the wire. */
    private record MessageType(int number, ObjectReader reader, ObjectWriter writer) {}

    /** Creates a codec for every type of {@link NodeMessage}. */
    public FrameCodec() {
        registerType(1, NodeMessage.Hello.class);
        registerType(2, NodeMessage.Ping.class);
        registerType(3, NodeMessage.Committed.class);
        registerType(4, NodeMessage.ControllerStatus.class);
        registerType(5, NodeMessage.FetchCommitted.class);
        registerType(6, NodeMessage.ConfigurationUpdate.class);
        registerType(7, NodeMessage.ConfigurationAck.class);
        registerType(8, NodeMessage.InstancesUpdate.class);
        registerType(9, NodeMessage.InstancesAck.class);
        registerType(10, NodeMessage.InstanceAnnouncements.class);
        registerType(11, NodeMessage.FleetUpdate.class);
        registerType(12, NodeMessage.PrefixCacheEvents.class);
        registerType(13, NodeMessage.ConfigurationChange.class);
        registerType(14, NodeMessage.FetchConfiguration.class);
        registerType(15, NodeMessage.ConfirmConfiguration.class);
        registerType(16, NodeMessage.ConfigurationConfirmed.class);
        registerType(32, RegisterMessage.PrepareRequest.class);
        registerType(33, RegisterMessage.PrepareResponse.class);
        registerType(34, RegisterMessage.AcceptRequest.class);
        registerType(35, RegisterMessage.AcceptResponse.class);
    }

    private void registerType(int number, Class<?> type) {
        MessageType messageType = new MessageType(number, mapper.readerFor(type), mapper.writerFor(type));
        typesByNumber[number] = messageType;
        typesByClass.put(type, messageType);
    }

    private static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper(new CBORFactory());
        // Serializers are created on first use, so that a process does not pay for message types that it never uses.
        mapper.disable(DeserializationFeature.EAGER_DESERIALIZER_FETCH);
        mapper.disable(SerializationFeature.EAGER_SERIALIZER_FETCH);
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
        // Only annotated components are fields; a method named like a getter must not add one.
        mapper.setVisibility(PropertyAccessor.GETTER, Visibility.NONE);
        mapper.setVisibility(PropertyAccessor.IS_GETTER, Visibility.NONE);
        WireFieldNames.apply(mapper);
        JsonSetter.Value absentReadAsEmpty = JsonSetter.Value.forValueNulls(Nulls.AS_EMPTY, Nulls.FAIL);
        mapper.configOverride(String.class).setSetterInfo(absentReadAsEmpty);
        mapper.configOverride(byte[].class).setSetterInfo(absentReadAsEmpty);
        mapper.configOverride(List.class).setSetterInfo(absentReadAsEmpty);
        JsonSetter.Value absentRejected = JsonSetter.Value.forValueNulls(Nulls.FAIL);
        mapper.configOverride(ProposalNumber.class).setSetterInfo(absentRejected);
        mapper.configOverride(InstanceState.class).setSetterInfo(absentRejected);
        return mapper;
    }

    /**
     * Encodes a message into a complete frame, which may be sent any number of times.
     *
     * @throws IllegalArgumentException if the message exceeds {@link #MAX_FRAME_BYTES}
     */
    public byte[] encode(NodeMessage message) {
        Object body = message instanceof NodeMessage.RegisterProtocol register ? register.message() : message;
        MessageType type = typesByClass.get(body.getClass());
        FrameBuffer output = new FrameBuffer();
        output.beginFrame(type.number());
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
     * @param bytes the frame; the number of the message type is at {@code offset}, followed by the body
     * @throws FrameException if the frame is not a valid message of a known type
     */
    public NodeMessage decode(byte[] bytes, int offset, int length) throws FrameException {
        if (length < 1) {
            throw new FrameException("empty frame");
        }
        int number = bytes[offset] & 0xff;
        MessageType type = number < TYPE_NUMBER_LIMIT ? typesByNumber[number] : null;
        if (type == null) {
            throw new FrameException("unknown message type: " + number);
        }
        Object body = readBody(type, bytes, offset + 1, length - 1);
        if (body == null) {
            throw new FrameException("no body for message type " + number);
        }
        return body instanceof RegisterMessage register
                ? new NodeMessage.RegisterProtocol(register)
                : (NodeMessage) body;
    }

    private static Object readBody(MessageType type, byte[] bytes, int offset, int length) throws FrameException {
        try {
            return type.reader().readValue(bytes, offset, length);
        } catch (JsonProcessingException e) {
            throw new FrameException(
                    "invalid body of message type " + type.number() + ": " + e.getOriginalMessage(), e);
        } catch (IOException | RuntimeException e) {
            throw new FrameException("invalid body of message type " + type.number(), e);
        }
    }

    /** Buffers the bytes of one frame; the length field is set at the end. */
    private static final class FrameBuffer extends ByteArrayOutputStream {
        FrameBuffer() {
            super(INITIAL_FRAME_BYTES);
        }

        void beginFrame(int number) {
            count = HEADER_BYTES;
            write(number);
        }

        byte[] frame() {
            int length = count - HEADER_BYTES;
            if (length > MAX_FRAME_BYTES) {
                throw new IllegalArgumentException("message exceeds the maximum frame size: " + length + " bytes");
            }
            byte[] frame = toByteArray();
            ByteBuffer.wrap(frame).putInt(0, length);
            return frame;
        }
    }
}
