package burlarch.coordination.membership;

import java.nio.charset.StandardCharsets;

/**
 * The identity of one process of a member. It doesn't change while the process runs.
 *
 * @param name the member's name, unique in the fleet at any one time; a restarted process keeps it
 * @param address where the process receives datagrams of other members, IP:PORT (IPv4)
 * @param role what the process does, for instance router
 * @param zone the failure domain in which it runs
 * @param processId a random number that each start of a process draws anew; never 0
 */
public record MemberInfo(String name, String address, String role, String zone, long processId) {
    /** Longest name, role or zone, in bytes of UTF-8. */
    public static final int MAX_TEXT_BYTES = 96;

    /** @throws IllegalArgumentException if a text is too long, the name empty, the id 0 or the address no IP:PORT */
    public MemberInfo {
        checkLength(name);
        checkLength(role);
        checkLength(zone);
        if (name.isEmpty() || processId == 0) {
            throw new IllegalArgumentException("a member needs a name and a process id");
        }
        Ipv4Address.pack(address);
    }

    private static void checkLength(String text) {
        if (text.getBytes(StandardCharsets.UTF_8).length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException("over " + MAX_TEXT_BYTES + " bytes: " + text);
        }
    }
}
