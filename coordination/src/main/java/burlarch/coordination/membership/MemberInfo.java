package burlarch.coordination.membership;

import java.nio.charset.StandardCharsets;

/**
 * Who a member is. All of it stays as it is while its process lives.
 *
 * @param name unique in the fleet at any one time; a restarted process keeps it
 * @param address where its process takes datagrams of other members, IP:PORT (IPv4)
 * @param role what it does, for instance router
 * @param zone where it runs
 * @param processId a random number that every start of a process draws anew; never 0
 */
public record MemberInfo(String name, String address, String role, String zone, long processId) {
    /** Longest name, role or zone, in bytes of UTF-8. */
    public static final int MAX_TEXT_BYTES = 96;

    public MemberInfo {
        checkLength(name);
        checkLength(role);
        checkLength(zone);
        if (name.isEmpty() || processId == 0) {
            throw new IllegalArgumentException("a member needs a name and an incarnation");
        }
        Ipv4Address.pack(address);
    }

    private static void checkLength(String text) {
        if (text.getBytes(StandardCharsets.UTF_8).length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException("over " + MAX_TEXT_BYTES + " bytes: " + text);
        }
    }
}
