package burlarch.coordination.register.acceptorset;

import java.util.ArrayList;
import java.util.List;

/** Acceptors for tests, named by their storage identity. */
public final class TestMembers {
    private TestMembers() {}

    /** An acceptor with an address that follows from its identity. */
    public static AcceptorMember member(String storageId) {
        return new AcceptorMember(storageId, "address-of-" + storageId);
    }

    /** Several acceptors, in that order. */
    public static List<AcceptorMember> members(String... storageIds) {
        List<AcceptorMember> members = new ArrayList<>();
        for (String storageId : storageIds) {
            members.add(member(storageId));
        }
        return members;
    }
}
