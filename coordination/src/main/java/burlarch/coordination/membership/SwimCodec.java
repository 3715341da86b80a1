package burlarch.coordination.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Datagrams of {@link SwimMessage}: version, kind, header, the kind's fields, claims up to the end, and a
 * CRC-32 of all before it.
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
    /** Bytes of any message without its claims, at most. */
    static final int FRAME_BYTES = 2 + 2 * Long.BYTES + Integer.BYTES + Long.BYTES + ADDRESS_BYTES + CHECK_BYTES;
    /** Bytes of a claim without its texts. */
    private static final int UPDATE_BYTES = 1 + 2 * Long.BYTES + ADDRESS_BYTES + 3;

    private SwimCodec() {}

    /** Bytes that the claim takes in a datagram. */
    static int sizeOf(MemberUpdate claim) {
        MemberInfo info = claim.info();
        return UPDATE_BYTES + utf8(info.name()).length + utf8(info.role()).length + utf8(info.zone()).length;
    }

    /** The datagram that carries the message. */
    public static byte[] encode(SwimMessage message) {
        int size = FRAME_BYTES;
        for (MemberUpdate claim : message.updates()) {
            size += sizeOf(claim);
        }
        ByteBuffer out = ByteBuffer.allocate(size);
        out.put(VERSION);
        putFrame(out, message);
        for (MemberUpdate claim : message.updates()) {
            putUpdate(out, claim);
        }
        out.putInt(checksum(out.array(), out.position()));
        byte[] datagram = new byte[out.position()];
        System.arraycopy(out.array(), 0, datagram, 0, datagram.length);
        return datagram;
    }

    /** The message, or null where the datagram isn't one, whole and within all bounds. */
    public static SwimMessage decode(byte[] datagram) {
        int length = datagram.length - CHECK_BYTES;
        if (length < 2 + 2 * Long.BYTES
                || datagram[0] != VERSION
                || ByteBuffer.wrap(datagram).getInt(length) != checksum(datagram, length)) {
            return null;
        }
        try {
            return message(ByteBuffer.wrap(datagram, 1, length - 1));
        } catch (BufferUnderflowException | IllegalArgumentException garbled) {
            return null;
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

    private static SwimMessage message(ByteBuffer in) {
        byte kind = in.get();
        SwimMessage.Header header = new SwimMessage.Header(in.getLong(), in.getLong());
        switch (kind) {
            case PING:
                return new SwimMessage.Ping(header, in.getInt(), in.getLong(), updates(in));
            case ACK:
                return new SwimMessage.Ack(header, in.getInt(), in.getLong(), updates(in));
            case PING_REQUEST:
                return new SwimMessage.PingRequest(header, in.getInt(), in.getLong(), address(in), updates(in));
            case NACK:
                return new SwimMessage.Nack(header, in.getInt(), updates(in));
            case SYNC_REQUEST:
                return new SwimMessage.SyncRequest(header, updates(in));
            case SYNC_PAGE:
                return new SwimMessage.SyncPage(header, updates(in));
            default:
                return null;
        }
    }

    private static void putUpdate(ByteBuffer out, MemberUpdate claim) {
        MemberInfo info = claim.info();
        out.put(number(claim.state()));
        out.putLong(info.processId()).putLong(claim.incarnation());
        putAddress(out, info.address());
        putText(out, info.name());
        putText(out, info.role());
        putText(out, info.zone());
    }

    private static List<MemberUpdate> updates(ByteBuffer in) {
        List<MemberUpdate> claims = new ArrayList<>();
        while (in.hasRemaining()) {
            claims.add(update(in));
        }
        return claims;
    }

    private static MemberUpdate update(ByteBuffer in) {
        MemberState state = state(in.get());
        long process = in.getLong();
        long incarnation = in.getLong();
        String address = address(in);
        MemberInfo info = new MemberInfo(text(in), address, text(in), text(in), process);
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
