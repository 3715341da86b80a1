package burlarch.storage;

import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes the records of an {@link AcceptorStore}. A record is one byte for its kind, then the kind's
 * fields in the order given here, as {@link DataOutputStream} writes them. A byte array is preceded by its length, an
 * int.
 *
 * <pre>
 *   kind              fields
 *   1 SNAPSHOT        identity, state, number of named values, then name and bytes of each
 *   2 PREPARED        prepared number; the accepted number and value are unchanged
 *   3 ACCEPTED        state
 *   4 NAMED_VALUE     name, bytes
 *
 *   state             prepared number, accepted number, whether there is a value, value
 *   number            term (long), proposer
 *   value             number of members, then storage and address of each; payload
 * </pre>
 *
 * <p>The kind numbers and the field order must not change, since data stored by earlier releases must stay readable. A
 * record that cannot be decoded causes an {@link IOException}: its checksum was correct, so a later release wrote it.
 */
final class AcceptorRecordCodec {
    private static final int SNAPSHOT = 1;
    private static final int PREPARED = 2;
    private static final int ACCEPTED = 3;
    private static final int NAMED_VALUE = 4;
    /** During a change of the acceptor set, a value lists the members of both the old and the new set. */
    private static final int MAX_MEMBERS = 2 * AcceptorSet.MAX_MEMBERS;

    private AcceptorRecordCodec() {}

    /** Returns a snapshot record, which replaces all records before it. */
    static byte[] encodeSnapshot(AcceptorStoreContents contents) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(SNAPSHOT);
        out.writeUTF(contents.identity);
        writeState(out, contents.state);
        out.writeInt(contents.namedValues.size());
        for (Map.Entry<String, byte[]> namedValue : contents.namedValues.entrySet()) {
            out.writeUTF(namedValue.getKey());
            writeBytes(out, namedValue.getValue());
        }
        return bytes.toByteArray();
    }

    /**
     * Returns the record that changes one state into the next. If only the prepared number changed, the record does
     * not repeat the value, which may be large.
     */
    static byte[] encodeChange(AcceptorState from, AcceptorState to) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        if (to.accepted().equals(from.accepted())) {
            out.writeByte(PREPARED);
            writeProposalNumber(out, to.prepared());
        } else {
            out.writeByte(ACCEPTED);
            writeState(out, to);
        }
        return bytes.toByteArray();
    }

    /** Returns the record that sets one named value. */
    static byte[] encodeNamedValue(String name, byte[] value) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(NAMED_VALUE);
        out.writeUTF(name);
        writeBytes(out, value);
        return bytes.toByteArray();
    }

    /**
     * Applies one record to the contents produced by all records before it.
     *
     * @throws IOException if the record has an unknown kind or ends too early
     */
    static void apply(byte[] record, AcceptorStoreContents contents) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(record));
        int kind = in.readByte();
        switch (kind) {
            case SNAPSHOT -> applySnapshot(in, contents);
            case PREPARED -> contents.state =
                    new AcceptorState(readProposalNumber(in), contents.state.accepted(), contents.state.value());
            case ACCEPTED -> contents.state = readState(in);
            case NAMED_VALUE -> contents.namedValues.put(in.readUTF(), readBytes(in));
            default -> throw new IOException("unknown record kind: " + kind);
        }
    }

    private static void applySnapshot(DataInputStream in, AcceptorStoreContents contents) throws IOException {
        contents.identity = in.readUTF();
        contents.state = readState(in);
        contents.namedValues.clear();
        int count = in.readInt();
        for (int i = 0; i < count; i++) {
            contents.namedValues.put(in.readUTF(), readBytes(in));
        }
    }

    private static void writeState(DataOutputStream out, AcceptorState state) throws IOException {
        writeProposalNumber(out, state.prepared());
        writeProposalNumber(out, state.accepted());
        out.writeBoolean(state.value() != null);
        if (state.value() != null) {
            writeValue(out, state.value());
        }
    }

    private static AcceptorState readState(DataInputStream in) throws IOException {
        ProposalNumber prepared = readProposalNumber(in);
        ProposalNumber accepted = readProposalNumber(in);
        return new AcceptorState(prepared, accepted, in.readBoolean() ? readValue(in) : null);
    }

    private static void writeValue(DataOutputStream out, RegisterValue value) throws IOException {
        out.writeInt(value.members().size());
        for (AcceptorMember member : value.members()) {
            out.writeUTF(member.storageId());
            out.writeUTF(member.address());
        }
        writeBytes(out, value.payload());
    }

    private static RegisterValue readValue(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > MAX_MEMBERS) {
            throw new IOException("value with " + count + " members: the number is negative or above the maximum");
        }
        List<AcceptorMember> members = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            members.add(new AcceptorMember(in.readUTF(), in.readUTF()));
        }
        return new RegisterValue(List.copyOf(members), readBytes(in));
    }

    private static void writeProposalNumber(DataOutputStream out, ProposalNumber proposalNumber) throws IOException {
        out.writeLong(proposalNumber.term());
        out.writeUTF(proposalNumber.proposer());
    }

    private static ProposalNumber readProposalNumber(DataInputStream in) throws IOException {
        return new ProposalNumber(in.readLong(), in.readUTF());
    }

    private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new IOException(
                    "field of " + length + " bytes: the length is negative or exceeds the rest of the record");
        }
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        return bytes;
    }
}
