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

/** The budget that response bodies of all connections share holds when many are long or endless. */
class ResponseCollectorTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "10000\r\n" + "x".repeat(BodyBudget.ORDINARY_BODY_BYTES) + "\r\n";

    private final BodyBudget budget = new BodyBudget(Long.MAX_VALUE, 2 * BodyBudget.ORDINARY_BODY_BYTES);

    private EmbeddedChannel connection() {
        return new EmbeddedChannel(new HttpResponseDecoder(), new ResponseCollector(budget));
    }

    private static void read(EmbeddedChannel connection, String text) {
        connection.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Test
    void bodyCountsUntilResponseIsComplete() {
        EmbeddedChannel connection = connection();
        read(connection, CHUNKED + CHUNK);
        assertEquals(BodyBudget.ORDINARY_BODY_BYTES, budget.heldBytes());
        read(connection, CHUNK);
        assertEquals(2 * BodyBudget.ORDINARY_BODY_BYTES, budget.heldBytes());
        read(connection, "0\r\n\r\n");
        FullHttpResponse response = connection.readInbound();
        assertEquals(2 * BodyBudget.ORDINARY_BODY_BYTES, response.content().readableBytes());
        assertEquals(0, budget.heldBytes());
        response.release();
    }

    @Test
    void responseBeyondBudgetClosesConnectionAndOrdinaryOnesAreAccepted() {
        EmbeddedChannel endless = connection();
        read(endless, CHUNKED + CHUNK + CHUNK + CHUNK);
        assertTrue(endless.isActive());
        EmbeddedChannel overBudget = connection();
        read(overBudget, CHUNKED + CHUNK + CHUNK + "0\r\n\r\n");
        assertFalse(overBudget.isActive());
        assertNull(overBudget.readInbound());
        EmbeddedChannel ordinary = connection();
        read(ordinary, CHUNKED + CHUNK + "0\r\n\r\n");
        FullHttpResponse response = ordinary.readInbound();
        assertNotNull(response);
        response.release();
        // The budget of the endless response is released when its connection closes.
        endless.close();
        assertEquals(0, budget.heldBytes());
        EmbeddedChannel afterRelease = connection();
        read(afterRelease, CHUNKED + CHUNK + CHUNK + "0\r\n\r\n");
        response = afterRelease.readInbound();
        assertNotNull(response);
        response.release();
    }
}
