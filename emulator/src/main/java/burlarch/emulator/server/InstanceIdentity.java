package burlarch.emulator.server;

/**
 * Identity of an emulated instance.
 *
 * @param id unique for each start of an instance
 * @param service name of the service
 * @param ip loopback address that it listens on
 * @param port port that it listens on; 0 lets the system choose one
 * @param zone zone that it runs in
 * @param capacity maximum number of requests that it executes at once
 */
public record InstanceIdentity(String id, String service, String ip, int port, String zone, int capacity) {
    /** Returns the address in the form IP:PORT. */
    public String address() {
        return ip + ":" + port;
    }
}
