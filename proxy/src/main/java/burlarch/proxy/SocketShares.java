package burlarch.proxy;

/**
 * Division of the file descriptors granted by the platform between client and node connections. Without a
 * reserve, an accept, a connect or the opening of a class file by the JVM could fail and end the program.
 *
 * @param clients maximum number of client connections
 * @param nodes maximum number of node connections
 */
record SocketShares(int clients, int nodes) {
    /** For the JVM's files, the listeners, discovery's old and new watch, and accepted connections to be rejected. */
    private static final int RESERVE = 56;

    /**
     * Nodes get fewer than clients: an open request needs a connection on each side, an idle client connection
     * none to a node.
     *
     * @param sockets file descriptors granted by the platform
     */
    static SocketShares of(int sockets) {
        int shared = Math.max(2, sockets - RESERVE);
        int clients = Math.max(1, shared * 11 / 20);
        return new SocketShares(clients, shared - clients);
    }
}
