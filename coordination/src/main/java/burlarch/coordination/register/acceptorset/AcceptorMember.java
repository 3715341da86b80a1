package burlarch.coordination.register.acceptorset;

/**
 * An acceptor, as a value of the register names it.
 *
 * @param storageId identity of its disk; a disk that comes back empty has a new one and is another acceptor
 * @param address where its process accepts messages of other nodes, IP:PORT
 */
public record AcceptorMember(String storageId, String address) {}
