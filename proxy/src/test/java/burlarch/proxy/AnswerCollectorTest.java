package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** What the answers of all connections hold at once, however many are long or never end. */
class AnswerCollectorTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "10000\r\n" + "x".repeat(BodyBudget.ORDINARY) + "\r\n";

    private final BodyBudget budget = new BodyBudget(Long.MAX_VALUE, 2 * BodyBudget.ORDINARY);

    private EmbeddedChannel connection() {
        return new EmbeddedChannel(new HttpResponseDecoder(), new AnswerCollector(budget));
    }

    private static void read(EmbeddedChannel connection, String text) {
        connection.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Test
    void aBodyCountsUntilTheAnswerIsWhole() {
        EmbeddedChannel connection = connection();
        read(connection, CHUNKED + CHUNK);
        assertEquals(BodyBudget.ORDINARY, budget.heldBytes());
        read(connection, CHUNK);
        assertEquals(2 * BodyBudget.ORDINARY, budget.heldBytes());
        read(connection, "0\r\n\r\n");
        FullHttpResponse whole = connection.readInbound();
        assertEquals(2 * BodyBudget.ORDINARY, whole.content().readableBytes());
        assertEquals(0, budget.heldBytes());
        whole.release();
    }

    @Test
    void anAnswerWithoutRoomEndsItsConnectionAndOrdinaryOnesStillCome() {
        EmbeddedChannel endless = connection();
        read(endless, CHUNKED + CHUNK + CHUNK + CHUNK);
        assertTrue(endless.isActive());
        EmbeddedChannel second = connection();
        read(second, CHUNKED + CHUNK + CHUNK + "0\r\n\r\n");
        assertFalse(second.isActive());
        assertNull(second.readInbound());
        EmbeddedChannel ordinary = connection();
        read(ordinary, CHUNKED + CHUNK + "0\r\n\r\n");
        FullHttpResponse whole = ordinary.readInbound();
        assertNotNull(whole);
        whole.release();
        // What the endless one held is free for others when it ends.
        endless.close();
        assertEquals(0, budget.heldBytes());
        EmbeddedChannel third = connection();
        read(third, CHUNKED + CHUNK + CHUNK + "0\r\n\r\n");
        whole = third.readInbound();
        assertNotNull(whole);
        whole.release();
    }
}
