package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A self-connection delivers the bytes sent in the role of the peer, in order, and not the pipeline's own. */
@Timeout(60)
class SelfConnectionTest {
    @Test
    void ownBytesAreDroppedAndPeerBytesArePassedOn() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            Channel channel = SelfConnection.open(group.next()).get();
            assertEquals(channel.localAddress(), channel.remoteAddress());
            StringBuilder receivedText = new StringBuilder();
            CountDownLatch ownBytesRead = new CountDownLatch(1);
            CountDownLatch peerBytesRead = new CountDownLatch(3);
            channel.pipeline().addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                @Override
                protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
                    String text = bytes.toString(StandardCharsets.US_ASCII);
                    receivedText.append(text);
                    for (int i = 0; i < text.length(); i++) {
                        peerBytesRead.countDown();
                    }
                }
            });
            group.next()
                    .submit(() -> {
                        SelfConnection selfConnection = SelfConnection.of(channel);
                        selfConnection.onOwnBytesRead(ownBytesRead::countDown);
                        channel.write(Unpooled.copiedBuffer("first", StandardCharsets.US_ASCII));
                        channel.write(Unpooled.EMPTY_BUFFER);
                        selfConnection.send(new byte[] {'a'});
                        channel.write(Unpooled.copiedBuffer("second", StandardCharsets.US_ASCII));
                        selfConnection.send(new byte[] {'b', 'c'});
                        channel.writeAndFlush(Unpooled.copiedBuffer("third", StandardCharsets.US_ASCII));
                    })
                    .get();
            assertTrue(peerBytesRead.await(20, TimeUnit.SECONDS));
            assertTrue(ownBytesRead.await(20, TimeUnit.SECONDS));
            assertEquals("abc", group.next().submit(receivedText::toString).get());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}
