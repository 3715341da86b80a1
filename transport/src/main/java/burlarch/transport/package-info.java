/**
 * Communication between nodes: CBOR messages in frames over long-lived TCP connections, and datagrams, on one event
 * loop.
 *
 * <p><b>Types by task.</b>
 *
 * <ul>
 *   <li>Event loop: {@link burlarch.transport.EventLoop} is the interface that decision logic uses,
 *       {@link burlarch.transport.SelectorEventLoop} the production implementation, and {@code TimerQueue} its timers.
 *   <li>Connections: {@link burlarch.transport.PeerConnection}, {@link burlarch.transport.PeerConnections} and
 *       {@link burlarch.transport.PeerConnectionListener} are the interfaces for users, with implementations for
 *       production and for virtual time. {@link burlarch.transport.NodeTransport} manages the connections of one node:
 *       {@code InboundAcceptor} accepts those of other nodes, {@code OutboundConnector} maintains one to an address,
 *       {@link burlarch.transport.TcpPeerConnection} is one connection, {@code KeepAliveMonitor} pings idle
 *       connections and closes those that timed out.
 *   <li>Messages: {@link burlarch.transport.NodeMessage} defines them, {@link burlarch.transport.FrameCodec} encodes
 *       and decodes them, {@code FrameReader} and {@code OutboundFrameQueue} read and write frames,
 *       {@link burlarch.transport.MessageOrderValidator} rejects messages that are out of order.
 *   <li>Datagrams: {@link burlarch.transport.DatagramEndpoint}.
 * </ul>
 *
 * <p><b>Threads and state.</b> All state of connections, timers and listeners is owned by the event loop's thread, and
 * every callback runs on it. Methods that other threads may call are documented with "any thread"; they run their work
 * on the loop.
 *
 * <p>The frame format, the numbers of message types and the names of fields must not change: nodes of different
 * releases communicate during a rolling upgrade.
 */
package burlarch.transport;
