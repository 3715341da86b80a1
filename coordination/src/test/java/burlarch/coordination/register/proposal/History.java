package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterValue;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A payload that lists the numbers of all changes that led to it, in order. */
record History(List<Integer> changes) {
    static final History EMPTY = new History(List.of());

    static History of(RegisterValue value) {
        if (value == null) {
            return EMPTY;
        }
        List<Integer> changes = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(value.payload());
        while (buffer.hasRemaining()) {
            changes.add(buffer.getInt());
        }
        return new History(changes);
    }

    History with(int change) {
        List<Integer> extended = new ArrayList<>(changes);
        extended.add(change);
        return new History(extended);
    }

    byte[] payload() {
        ByteBuffer buffer = ByteBuffer.allocate(Integer.BYTES * changes.size());
        changes.forEach(buffer::putInt);
        return buffer.array();
    }

    int version() {
        return changes.size();
    }

    boolean contains(int change) {
        return changes.contains(change);
    }

    boolean beginsWith(History earlier) {
        int count = earlier.version();
        return count <= version() && changes.subList(0, count).equals(earlier.changes);
    }
}
