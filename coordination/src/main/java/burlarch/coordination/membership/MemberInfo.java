package burlarch.coordination.membership;

import java.nio.charset.StandardCharsets;

/**
 * The identity of one process of a member. It does not change while the process runs.
 *
 * @param name the member's name, unique in the fleet at any one time; a restarted process keeps it
 * @param address where the process receives datagrams of other members, IP:PORT (IPv4)
 * @param role what the process does, for instance router
 * @param zone the failure domain in which it runs
 * @param processId a random number that is drawn at each start of a process; never 0
 */
public record MemberInfo(String name, String address, String role, String zone, long processId) {
    /** Largest length of a name, role or zone, in bytes of UTF-8. */
    public static final int MAX_TEXT_BYTES = 96;

    /** @throws IllegalArgumentException if a text is too long, the name empty, the id 0 or the address not IP:PORT */
    public MemberInfo {
        checkLength(name);
        checkLength(role);
        checkLength(zone);
        if (name.isEmpty() || processId == 0) {
            throw new IllegalArgumentException("member invalid: name is empty or process id is 0");
        }
        Ipv4Address.pack(address);
    }

    private static void checkLength(String text) {
        if (text.getBytes(StandardCharsets.UTF_8).length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException("member text exceeds " + MAX_TEXT_BYTES + " bytes: " + text);
        }
    }
}
