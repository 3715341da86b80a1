package burlarch.standins.fleet;

import burlarch.standins.net.Transport;
import burlarch.standins.net.Transport.ListeningChannel;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * The listening sockets of one node, one for each proxy. A node that listens again keeps its addresses.
 * {@link #address} may be called from any thread and {@link #close} only on the event loop; all other methods must
 * be called off the event loop and by one thread at a time.
 */
final class NodeListeners {
    private static final int BACKLOG = 1024;
    /** Linux queues one connection more than the backlog, which is 1. */
    private static final int FILLING_CONNECTIONS = 2;

    private static final int FILL_TIMEOUT_MS = 200;
    private static final long RELEASE_CHECK_MS = 1;
    /** Gives the sockets at least ten seconds; a check takes longer than 1 ms if the event loop is busy. */
    private static final int MAX_RELEASE_CHECKS = 10_000;

    private final FleetPlan.NodePlan node;
    private final FleetPlan fleet;
    private final EventLoop loop;
    private final BiConsumer<Channel, FleetPlan.ProxyPlan> onConnection;
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<String, ListeningChannel> listeners = new LinkedHashMap<>();
    /** Closed listeners whose sockets may still hold their addresses; at most one for each proxy. On the loop. */
    private final List<ListeningChannel> closing = new ArrayList<>();

    private final List<ServerSocket> blockedListeners = new ArrayList<>();
    private final List<Socket> queueFillers = new ArrayList<>();

    /** @param onConnection called on the event loop with each connection and the proxy whose listener accepted it */
    NodeListeners(
            FleetPlan.NodePlan node,
            FleetPlan fleet,
            EventLoop loop,
            BiConsumer<Channel, FleetPlan.ProxyPlan> onConnection) {
        this.node = node;
        this.fleet = fleet;
        this.loop = loop;
        this.onConnection = onConnection;
    }

    /** Address that serves a proxy, also while the node does not listen. */
    InetSocketAddress address(String proxyName) {
        return addresses.get(proxyName);
    }

    /**
     * Binds a listener for each proxy. Must not be called on the event loop, which does the binding.
     *
     * @param newAddresses whether to take new ports instead of the old ones
     * @throws IOException if an address cannot be bound; the message names it
     */
    void open(boolean newAddresses) throws IOException {
        awaitRelease();
        for (FleetPlan.ProxyPlan proxyPlan : fleet.proxyPlans()) {
            InetSocketAddress previous = addresses.get(proxyPlan.name());
            ListeningChannel listener = bind(proxyPlan, previous == null || newAddresses ? 0 : previous.getPort());
            listeners.put(proxyPlan.name(), listener);
            addresses.put(proxyPlan.name(), (InetSocketAddress) listener.localAddress());
        }
    }

    private ListeningChannel bind(FleetPlan.ProxyPlan proxyPlan, int port) throws IOException {
        ChannelFuture bindFuture = new ServerBootstrap()
                .group(loop)
                .channel(Transport.server())
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        onConnection.accept(channel, proxyPlan);
                    }
                })
                .bind(fleet.host(), port)
                .awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new IOException(
                    "node " + node.id() + " cannot listen at " + fleet.host() + ":" + port + ": "
                            + bindFuture.cause().getMessage(),
                    bindFuture.cause());
        }
        return (ListeningChannel) bindFuture.channel();
    }

    /** Waits until the sockets of closed listeners are released: an earlier bind of their addresses fails. */
    private void awaitRelease() throws IOException {
        Promise<Void> released = loop.newPromise();
        loop.execute(() -> checkReleased(released, MAX_RELEASE_CHECKS));
        if (!released.awaitUninterruptibly().isSuccess()) {
            throw new IOException(
                    "node " + node.id() + " cannot listen again: "
                            + released.cause().getMessage(),
                    released.cause());
        }
    }

    private void checkReleased(Promise<Void> released, int checksLeft) {
        closing.removeIf(ListeningChannel::isReleased);
        if (closing.isEmpty()) {
            released.setSuccess(null);
        } else if (checksLeft == 0) {
            released.setFailure(new IOException(closing + " not released in time"));
        } else {
            loop.schedule(() -> checkReleased(released, checksLeft - 1), RELEASE_CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Binds the addresses with listeners whose accept queues are full, so that new connections are never accepted.
     * The previous listeners must be closed. Must not be called on the event loop.
     *
     * @throws IOException if an address cannot be bound or a queue cannot be filled
     */
    void block() throws IOException {
        awaitRelease();
        for (InetSocketAddress address : addresses.values()) {
            ServerSocket listener = new ServerSocket();
            blockedListeners.add(listener);
            listener.setReuseAddress(true);
            listener.bind(address, 1);
            for (int i = 0; i < FILLING_CONNECTIONS; i++) {
                Socket filler = new Socket();
                queueFillers.add(filler);
                filler.connect(address, FILL_TIMEOUT_MS);
            }
        }
    }

    /** Closes all listeners, including blocked ones. Must be called on the event loop. */
    void close() {
        for (ListeningChannel listener : listeners.values()) {
            listener.close();
            closing.add(listener);
        }
        listeners.clear();
        queueFillers.forEach(NodeListeners::closeQuietly);
        blockedListeners.forEach(NodeListeners::closeQuietly);
        queueFillers.clear();
        blockedListeners.clear();
    }

    private static void closeQuietly(AutoCloseable socket) {
        try {
            socket.close();
        } catch (Exception e) {
            // The socket is no longer used.
        }
    }
}
