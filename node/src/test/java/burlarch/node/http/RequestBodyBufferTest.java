package burlarch.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.node.http.RequestBodyBuffer.AppendResult;
import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** Memory of request bodies: reserved in the budget before it is allocated, and released once. */
class RequestBodyBufferTest {
    private static final int MAX_BYTES = 1 << 20;
    private static final int UNKNOWN_LENGTH = -1;

    private final RequestMemoryBudget budget = new RequestMemoryBudget(200_000, 50_000);

    @Test
    void aBodyOfDeclaredLengthReservesItsLength() {
        RequestBodyBuffer buffer = new RequestBodyBuffer(budget, MAX_BYTES, 1400);

        assertThat(buffer.append(ByteBuffer.allocate(1400))).isEqualTo(AppendResult.APPENDED);

        assertThat(budget.reservedBytes()).isEqualTo(1400);
        assertThat(buffer.content().remaining()).isEqualTo(1400);
    }

    @Test
    void aDeclaredLengthReservesNothingBeforeBytesArrive() {
        RequestBodyBuffer buffer = new RequestBodyBuffer(budget, MAX_BYTES, MAX_BYTES);

        buffer.append(ByteBuffer.allocate(100));

        assertThat(budget.reservedBytes()).isLessThanOrEqualTo(4096);
    }

    @Test
    void theBytesArriveInOrder() {
        RequestBodyBuffer buffer = new RequestBodyBuffer(budget, MAX_BYTES, UNKNOWN_LENGTH);
        byte[] sent = new byte[30_000];
        for (int i = 0; i < sent.length; i++) {
            sent[i] = (byte) (i * 31);
        }
        for (int from = 0; from < sent.length; from += 1000) {
            buffer.append(ByteBuffer.wrap(sent, from, 1000));
        }
        assertThat(buffer.toByteArray()).isEqualTo(sent);
    }

    @Test
    void largeBodiesLeaveAPartOfTheBudgetToSmallOnes() {
        RequestBodyBuffer large = new RequestBodyBuffer(budget, MAX_BYTES, 150_000);
        RequestBodyBuffer tooMuch = new RequestBodyBuffer(budget, MAX_BYTES, 70_000);
        RequestBodyBuffer small = new RequestBodyBuffer(budget, MAX_BYTES, 50_000);

        assertThat(large.append(ByteBuffer.allocate(150_000))).isEqualTo(AppendResult.APPENDED);
        assertThat(tooMuch.append(ByteBuffer.allocate(70_000))).isEqualTo(AppendResult.NO_ROOM);
        assertThat(small.append(ByteBuffer.allocate(50_000))).isEqualTo(AppendResult.APPENDED);

        assertThat(budget.reservedBytes()).isEqualTo(200_000);
    }

    /** Guards against many slow uploads that exclude ordinary requests before any of them is large. */
    @Test
    void theFirstBytesOfLargeBodiesLeaveRoomForSmallBodiesToo() {
        int stored = 0;
        while (new RequestBodyBuffer(budget, MAX_BYTES, MAX_BYTES).append(ByteBuffer.allocate(4096))
                == AppendResult.APPENDED) {
            stored++;
        }
        assertThat(stored).isPositive();
        assertThat(budget.reservedBytes()).isLessThanOrEqualTo(150_000);
        assertThat(new RequestBodyBuffer(budget, MAX_BYTES, 1400).append(ByteBuffer.allocate(1400)))
                .isEqualTo(AppendResult.APPENDED);
    }

    @Test
    void aBodyAboveItsLimitIsTooLong() {
        RequestBodyBuffer buffer = new RequestBodyBuffer(budget, 1000, UNKNOWN_LENGTH);

        assertThat(buffer.append(ByteBuffer.allocate(600))).isEqualTo(AppendResult.APPENDED);
        assertThat(buffer.append(ByteBuffer.allocate(600))).isEqualTo(AppendResult.TOO_LONG);
    }

    @Test
    void aReleasedBufferReservesNothingAndTakesNothing() {
        RequestBodyBuffer buffer = new RequestBodyBuffer(budget, MAX_BYTES, UNKNOWN_LENGTH);
        buffer.append(ByteBuffer.allocate(5000));

        buffer.release();
        buffer.release();

        assertThat(budget.reservedBytes()).isZero();
        assertThat(buffer.append(ByteBuffer.allocate(1))).isEqualTo(AppendResult.NO_ROOM);
    }
}
