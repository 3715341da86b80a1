package burlarch.coordination.register.acceptorset;

import java.util.ArrayList;
import java.util.List;

/** Acceptors for tests, named by their storage identity. */
public final class TestMembers {
    private TestMembers() {}

    /** Returns an acceptor with an address derived from its storage identity. */
    public static AcceptorMember member(String storageId) {
        return new AcceptorMember(storageId, "address-of-" + storageId);
    }

    /** Returns acceptors with these storage identities, in that order. */
    public static List<AcceptorMember> members(String... storageIds) {
        List<AcceptorMember> members = new ArrayList<>();
        for (String storageId : storageIds) {
            members.add(member(storageId));
        }
        return members;
    }
}
