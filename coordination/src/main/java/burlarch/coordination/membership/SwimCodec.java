package burlarch.coordination.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * The codec between {@link SwimMessage} and datagrams.
 *
 * <pre>
 * message = version (1 byte), kind (1), sender's process id (8), digest (8), the kind's fields, updates, CRC-32 (4)
 * update  = state (1), process id (8), incarnation (8), address (6), name, role, zone; each text with its length (1)
 * </pre>
 *
 * Updates follow each other up to the checksum, which covers all bytes before it. Numbers are big-endian.
 */
public final class SwimCodec {
    private static final byte VERSION = 1;
    private static final byte PING = 1;
    private static final byte ACK = 2;
    private static final byte PING_REQUEST = 3;
    private static final byte NACK = 4;
    private static final byte SYNC_REQUEST = 5;
    private static final byte SYNC_PAGE = 6;
    private static final byte ALIVE = 0;
    private static final byte SUSPECT = 1;
    private static final byte DEAD = 2;
    private static final byte LEFT = 3;

    private static final int CHECK_BYTES = Integer.BYTES;
    private static final int ADDRESS_BYTES = 6;
    private static final int PORT_BITS = 16;
    private static final int PORT_MASK = 0xFFFF;
    private static final int BYTE_MASK = 0xFF;
    /** Largest size of a message without its updates, in bytes. */
    public static final int FRAME_BYTES = 2 + 2 * Long.BYTES + Integer.BYTES + Long.BYTES + ADDRESS_BYTES + CHECK_BYTES;
    /** Size of an update without its texts, in bytes. */
    private static final int UPDATE_BYTES = 1 + 2 * Long.BYTES + ADDRESS_BYTES + 3;

    private SwimCodec() {}

    /** Returns the size of the update in a datagram, in bytes. */
    public static int sizeOf(MemberUpdate update) {
        MemberInfo info = update.info();
        return UPDATE_BYTES + utf8(info.name()).length + utf8(info.role()).length + utf8(info.zone()).length;
    }

    /** Encodes a message as a datagram. */
    public static byte[] encode(SwimMessage message) {
        int size = FRAME_BYTES;
        for (MemberUpdate update : message.updates()) {
            size += sizeOf(update);
        }
        ByteBuffer buffer = ByteBuffer.allocate(size);
        buffer.put(VERSION);
        putFrame(buffer, message);
        for (MemberUpdate update : message.updates()) {
            putUpdate(buffer, update);
        }
        buffer.putInt(checksum(buffer.array(), buffer.position()));
        byte[] datagram = new byte[buffer.position()];
        System.arraycopy(buffer.array(), 0, datagram, 0, datagram.length);
        return datagram;
    }

    /** Decodes a datagram; empty if it is not a complete and valid message. */
    public static Optional<SwimMessage> decode(byte[] datagram) {
        int length = datagram.length - CHECK_BYTES;
        if (length < 2 + 2 * Long.BYTES
                || datagram[0] != VERSION
                || ByteBuffer.wrap(datagram).getInt(length) != checksum(datagram, length)) {
            return Optional.empty();
        }
        try {
            return readMessage(ByteBuffer.wrap(datagram, 1, length - 1));
        } catch (BufferUnderflowException | IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static void putFrame(ByteBuffer buffer, SwimMessage message) {
        if (message instanceof SwimMessage.Ping ping) {
            putHeader(buffer, PING, message).putInt(ping.sequence()).putLong(ping.targetProcessId());
        } else if (message instanceof SwimMessage.Ack ack) {
            putHeader(buffer, ACK, message).putInt(ack.sequence()).putLong(ack.subjectProcessId());
        } else if (message instanceof SwimMessage.PingRequest request) {
            putHeader(buffer, PING_REQUEST, message).putInt(request.sequence()).putLong(request.targetProcessId());
            putAddress(buffer, request.address());
        } else if (message instanceof SwimMessage.Nack nack) {
            putHeader(buffer, NACK, message).putInt(nack.sequence());
        } else {
            putHeader(buffer, message instanceof SwimMessage.SyncPage ? SYNC_PAGE : SYNC_REQUEST, message);
        }
    }

    private static ByteBuffer putHeader(ByteBuffer buffer, byte kind, SwimMessage message) {
        SwimMessage.Header header = message.header();
        return buffer.put(kind).putLong(header.processId()).putLong(header.digest());
    }

    private static Optional<SwimMessage> readMessage(ByteBuffer buffer) {
        byte kind = buffer.get();
        SwimMessage.Header header = new SwimMessage.Header(buffer.getLong(), buffer.getLong());
        SwimMessage message =
                switch (kind) {
                    case PING -> new SwimMessage.Ping(header, buffer.getInt(), buffer.getLong(), readUpdates(buffer));
                    case ACK -> new SwimMessage.Ack(header, buffer.getInt(), buffer.getLong(), readUpdates(buffer));
                    case PING_REQUEST -> new SwimMessage.PingRequest(
                            header, buffer.getInt(), buffer.getLong(), readAddress(buffer), readUpdates(buffer));
                    case NACK -> new SwimMessage.Nack(header, buffer.getInt(), readUpdates(buffer));
                    case SYNC_REQUEST -> new SwimMessage.SyncRequest(header, readUpdates(buffer));
                    case SYNC_PAGE -> new SwimMessage.SyncPage(header, readUpdates(buffer));
                    default -> null;
                };
        return Optional.ofNullable(message);
    }

    private static void putUpdate(ByteBuffer buffer, MemberUpdate update) {
        MemberInfo info = update.info();
        buffer.put(codeOf(update.state()));
        buffer.putLong(info.processId()).putLong(update.incarnation());
        putAddress(buffer, info.address());
        putText(buffer, info.name());
        putText(buffer, info.role());
        putText(buffer, info.zone());
    }

    private static List<MemberUpdate> readUpdates(ByteBuffer buffer) {
        List<MemberUpdate> updates = new ArrayList<>();
        while (buffer.hasRemaining()) {
            updates.add(readUpdate(buffer));
        }
        return updates;
    }

    private static MemberUpdate readUpdate(ByteBuffer buffer) {
        MemberState state = stateOf(buffer.get());
        long processId = buffer.getLong();
        long incarnation = buffer.getLong();
        String address = readAddress(buffer);
        MemberInfo info = new MemberInfo(readText(buffer), address, readText(buffer), readText(buffer), processId);
        return new MemberUpdate(info, incarnation, state);
    }

    /** Returns the code of a state on the wire. */
    private static byte codeOf(MemberState state) {
        return switch (state) {
            case ALIVE -> ALIVE;
            case SUSPECT -> SUSPECT;
            case DEAD -> DEAD;
            case LEFT -> LEFT;
        };
    }

    private static MemberState stateOf(byte code) {
        return switch (code) {
            case ALIVE -> MemberState.ALIVE;
            case SUSPECT -> MemberState.SUSPECT;
            case DEAD -> MemberState.DEAD;
            case LEFT -> MemberState.LEFT;
            default -> throw new IllegalArgumentException("unknown code of a member state: " + code);
        };
    }

    private static void putAddress(ByteBuffer buffer, String address) {
        long packed = Ipv4Address.pack(address);
        buffer.putInt((int) (packed >>> PORT_BITS)).putShort((short) packed);
    }

    private static String readAddress(ByteBuffer buffer) {
        long host = Integer.toUnsignedLong(buffer.getInt());
        return Ipv4Address.unpack(host << PORT_BITS | buffer.getShort() & PORT_MASK);
    }

    private static void putText(ByteBuffer buffer, String text) {
        byte[] bytes = utf8(text);
        buffer.put((byte) bytes.length).put(bytes);
    }

    private static String readText(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.get() & BYTE_MASK];
        buffer.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32 sum = new CRC32();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }
}
