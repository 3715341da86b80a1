package burlarch.storage;

import burlarch.coordination.register.AcceptorSet;
import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.Ballot;
import burlarch.coordination.register.Member;
import burlarch.coordination.register.RegisterValue;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Records of an {@link AcceptorStore}, as bytes. The first byte tells the kind. */
final class AcceptorRecordCodec {
    private static final int SNAPSHOT = 1;
    private static final int PROMISE = 2;
    private static final int ACCEPT = 3;
    private static final int EXTRA = 4;
    private static final int MOST_MEMBERS = 2 * AcceptorSet.MOST_MEMBERS;

    private AcceptorRecordCodec() {}

    static byte[] snapshot(AcceptorStoreContents stored) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(SNAPSHOT);
        out.writeUTF(stored.identity);
        writeState(out, stored.state);
        out.writeInt(stored.extras.size());
        for (Map.Entry<String, byte[]> extra : stored.extras.entrySet()) {
            out.writeUTF(extra.getKey());
            writeBytes(out, extra.getValue());
        }
        return bytes.toByteArray();
    }

    /** The record that leads from one state to the next; a promise doesn't repeat the value. */
    static byte[] change(AcceptorState from, AcceptorState to) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        if (to.accepted().equals(from.accepted())) {
            out.writeByte(PROMISE);
            writeBallot(out, to.promised());
        } else {
            out.writeByte(ACCEPT);
            writeState(out, to);
        }
        return bytes.toByteArray();
    }

    static byte[] extra(String key, byte[] value) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(EXTRA);
        out.writeUTF(key);
        writeBytes(out, value);
        return bytes.toByteArray();
    }

    /** Applies one record that was read. */
    static void apply(byte[] record, AcceptorStoreContents stored) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(record));
        int kind = in.readByte();
        if (kind == SNAPSHOT) {
            stored.identity = in.readUTF();
            stored.state = readState(in);
            stored.extras.clear();
            int count = in.readInt();
            for (int i = 0; i < count; i++) {
                stored.extras.put(in.readUTF(), readBytes(in));
            }
        } else if (kind == PROMISE) {
            Ballot promised = readBallot(in);
            stored.state = new AcceptorState(promised, stored.state.accepted(), stored.state.value());
        } else if (kind == ACCEPT) {
            stored.state = readState(in);
        } else if (kind == EXTRA) {
            stored.extras.put(in.readUTF(), readBytes(in));
        } else {
            throw new IOException("record of unknown kind " + kind);
        }
    }

    private static void writeState(DataOutputStream out, AcceptorState state) throws IOException {
        writeBallot(out, state.promised());
        writeBallot(out, state.accepted());
        out.writeBoolean(state.value() != null);
        if (state.value() != null) {
            writeValue(out, state.value());
        }
    }

    private static AcceptorState readState(DataInputStream in) throws IOException {
        Ballot promised = readBallot(in);
        Ballot accepted = readBallot(in);
        return new AcceptorState(promised, accepted, in.readBoolean() ? readValue(in) : null);
    }

    private static void writeValue(DataOutputStream out, RegisterValue value) throws IOException {
        out.writeInt(value.members().size());
        for (Member member : value.members()) {
            out.writeUTF(member.storage());
            out.writeUTF(member.address());
        }
        writeBytes(out, value.payload());
    }

    private static RegisterValue readValue(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > MOST_MEMBERS) {
            throw new IOException("a value of " + count + " members");
        }
        List<Member> members = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            members.add(new Member(in.readUTF(), in.readUTF()));
        }
        return new RegisterValue(List.copyOf(members), readBytes(in));
    }

    private static void writeBallot(DataOutputStream out, Ballot ballot) throws IOException {
        out.writeLong(ballot.round());
        out.writeUTF(ballot.proposer());
    }

    private static Ballot readBallot(DataInputStream in) throws IOException {
        return new Ballot(in.readLong(), in.readUTF());
    }

    private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new IOException("a field of " + length + " bytes");
        }
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        return bytes;
    }
}
