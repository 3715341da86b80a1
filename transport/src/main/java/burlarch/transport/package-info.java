/**
 * Messages between nodes: framed CBOR over long-lived TCP connections, and datagrams, on one event loop.
 *
 * <p><b>Types by job.</b>
 *
 * <ul>
 *   <li>Event loop: {@link burlarch.transport.EventLoop} is what decisions need of it,
 *       {@link burlarch.transport.SelectorEventLoop} the one in service, {@code TimerQueue} its timers.
 *   <li>Connections: {@link burlarch.transport.PeerConnection}, {@link burlarch.transport.PeerConnections} and
 *       {@link burlarch.transport.PeerConnectionListener} are what users see, in service and in virtual time.
 *       {@link burlarch.transport.NodeTransport} keeps the connections of one node: {@code InboundAcceptor} takes
 *       those of others, {@code OutboundConnector} keeps one to an address,
 *       {@link burlarch.transport.TcpPeerConnection} is one connection, {@code KeepAliveMonitor} pings idle ones and
 *       closes dead ones.
 *   <li>Messages: {@link burlarch.transport.NodeMessage} lists them, {@link burlarch.transport.FrameCodec} turns them
 *       into frames and back, {@code FrameReader} and {@code OutboundFrameQueue} read and write frames,
 *       {@link burlarch.transport.MessageOrderValidator} rejects what cannot follow.
 *   <li>Datagrams: {@link burlarch.transport.DatagramEndpoint}.
 * </ul>
 *
 * <p><b>Threads and state.</b> All state of connections, timers and listeners is owned by the event loop's thread, and
 * every callback runs on it. Methods that other threads may call say "any thread"; they hand their work to the loop.
 *
 * <p>The form of frames, the numbers of message types and the names of fields are fixed: nodes of different programs
 * talk with each other during a rolling upgrade.
 */
package burlarch.transport;
