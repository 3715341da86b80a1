package burlarch.emulator.server;

/**
 * Who a stand-in is.
 *
 * @param id of this start
 * @param service its service's name
 * @param ip loopback address
 * @param port at that address
 * @param zone where it runs
 * @param capacity requests that it works on at once
 */
public record InstanceInfo(String id, String service, String ip, int port, String zone, int capacity) {
    /** IP:PORT. */
    public String address() {
        return ip + ":" + port;
    }
}
