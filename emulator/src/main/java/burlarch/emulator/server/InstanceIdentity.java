package burlarch.emulator.server;

/**
 * The identity of an emulated instance.
 *
 * @param id unique to this start
 * @param service its service's name
 * @param ip loopback address
 * @param port at that address
 * @param zone where it runs
 * @param capacity requests that it executes at once
 */
public record InstanceIdentity(String id, String service, String ip, int port, String zone, int capacity) {
    /** IP:PORT. */
    public String address() {
        return ip + ":" + port;
    }
}
