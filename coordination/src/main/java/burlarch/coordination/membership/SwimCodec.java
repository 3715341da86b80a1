package burlarch.coordination.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * Encodes {@link SwimMessage} as a datagram and back.
 *
 * <pre>
 * message = version (1 byte), kind (1), sender's process id (8), digest (8), the kind's fields, updates, CRC-32 (4)
 * update  = state (1), process id (8), incarnation (8), address (6), name, role, zone; each text with its length (1)
 * </pre>
 *
 * Updates go on until the checksum, which covers all before it. Numbers are big-endian.
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
    /** Bytes of any message without its updates, at most. */
    public static final int FRAME_BYTES = 2 + 2 * Long.BYTES + Integer.BYTES + Long.BYTES + ADDRESS_BYTES + CHECK_BYTES;
    /** Bytes of an update without its texts. */
    private static final int UPDATE_BYTES = 1 + 2 * Long.BYTES + ADDRESS_BYTES + 3;

    private SwimCodec() {}

    /** Bytes that the update takes in a datagram. */
    public static int sizeOf(MemberUpdate update) {
        MemberInfo info = update.info();
        return UPDATE_BYTES + utf8(info.name()).length + utf8(info.role()).length + utf8(info.zone()).length;
    }

    /** The message as a datagram. */
    public static byte[] encode(SwimMessage message) {
        int size = FRAME_BYTES;
        for (MemberUpdate update : message.updates()) {
            size += sizeOf(update);
        }
        ByteBuffer out = ByteBuffer.allocate(size);
        out.put(VERSION);
        putFrame(out, message);
        for (MemberUpdate update : message.updates()) {
            putUpdate(out, update);
        }
        out.putInt(checksum(out.array(), out.position()));
        byte[] datagram = new byte[out.position()];
        System.arraycopy(out.array(), 0, datagram, 0, datagram.length);
        return datagram;
    }

    /** The message, empty if the datagram is not a complete and valid one. */
    public static Optional<SwimMessage> decode(byte[] datagram) {
        int length = datagram.length - CHECK_BYTES;
        if (length < 2 + 2 * Long.BYTES
                || datagram[0] != VERSION
                || ByteBuffer.wrap(datagram).getInt(length) != checksum(datagram, length)) {
            return Optional.empty();
        }
        try {
            return message(ByteBuffer.wrap(datagram, 1, length - 1));
        } catch (BufferUnderflowException | IllegalArgumentException garbled) {
            return Optional.empty();
        }
    }

    private static void putFrame(ByteBuffer out, SwimMessage message) {
        if (message instanceof SwimMessage.Ping ping) {
            putHeader(out, PING, message).putInt(ping.sequence()).putLong(ping.targetProcessId());
        } else if (message instanceof SwimMessage.Ack ack) {
            putHeader(out, ACK, message).putInt(ack.sequence()).putLong(ack.subjectProcessId());
        } else if (message instanceof SwimMessage.PingRequest request) {
            putHeader(out, PING_REQUEST, message).putInt(request.sequence()).putLong(request.targetProcessId());
            putAddress(out, request.address());
        } else if (message instanceof SwimMessage.Nack nack) {
            putHeader(out, NACK, message).putInt(nack.sequence());
        } else {
            putHeader(out, message instanceof SwimMessage.SyncPage ? SYNC_PAGE : SYNC_REQUEST, message);
        }
    }

    private static ByteBuffer putHeader(ByteBuffer out, byte kind, SwimMessage message) {
        SwimMessage.Header header = message.header();
        return out.put(kind).putLong(header.processId()).putLong(header.digest());
    }

    private static Optional<SwimMessage> message(ByteBuffer in) {
        byte kind = in.get();
        SwimMessage.Header header = new SwimMessage.Header(in.getLong(), in.getLong());
        SwimMessage message =
                switch (kind) {
                    case PING -> new SwimMessage.Ping(header, in.getInt(), in.getLong(), updates(in));
                    case ACK -> new SwimMessage.Ack(header, in.getInt(), in.getLong(), updates(in));
                    case PING_REQUEST -> new SwimMessage.PingRequest(
                            header, in.getInt(), in.getLong(), address(in), updates(in));
                    case NACK -> new SwimMessage.Nack(header, in.getInt(), updates(in));
                    case SYNC_REQUEST -> new SwimMessage.SyncRequest(header, updates(in));
                    case SYNC_PAGE -> new SwimMessage.SyncPage(header, updates(in));
                    default -> null;
                };
        return Optional.ofNullable(message);
    }

    private static void putUpdate(ByteBuffer out, MemberUpdate update) {
        MemberInfo info = update.info();
        out.put(number(update.state()));
        out.putLong(info.processId()).putLong(update.incarnation());
        putAddress(out, info.address());
        putText(out, info.name());
        putText(out, info.role());
        putText(out, info.zone());
    }

    private static List<MemberUpdate> updates(ByteBuffer in) {
        List<MemberUpdate> updates = new ArrayList<>();
        while (in.hasRemaining()) {
            updates.add(update(in));
        }
        return updates;
    }

    private static MemberUpdate update(ByteBuffer in) {
        MemberState state = state(in.get());
        long processId = in.getLong();
        long incarnation = in.getLong();
        String address = address(in);
        MemberInfo info = new MemberInfo(text(in), address, text(in), text(in), processId);
        return new MemberUpdate(info, incarnation, state);
    }

    /** The number of a state on the wire. */
    private static byte number(MemberState state) {
        return switch (state) {
            case ALIVE -> ALIVE;
            case SUSPECT -> SUSPECT;
            case DEAD -> DEAD;
            case LEFT -> LEFT;
        };
    }

    private static MemberState state(byte number) {
        return switch (number) {
            case ALIVE -> MemberState.ALIVE;
            case SUSPECT -> MemberState.SUSPECT;
            case DEAD -> MemberState.DEAD;
            case LEFT -> MemberState.LEFT;
            default -> throw new IllegalArgumentException("no such state: " + number);
        };
    }

    private static void putAddress(ByteBuffer out, String address) {
        long packed = Ipv4Address.pack(address);
        out.putInt((int) (packed >>> PORT_BITS)).putShort((short) packed);
    }

    private static String address(ByteBuffer in) {
        long host = Integer.toUnsignedLong(in.getInt());
        return Ipv4Address.unpack(host << PORT_BITS | in.getShort() & PORT_MASK);
    }

    private static void putText(ByteBuffer out, String text) {
        byte[] bytes = utf8(text);
        out.put((byte) bytes.length).put(bytes);
    }

    private static String text(ByteBuffer in) {
        byte[] bytes = new byte[in.get() & BYTE_MASK];
        in.get(bytes);
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
