package burlarch.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class SwimCodecTest {
    private static final SwimMessage.Header HEADER = new SwimMessage.Header(Long.MIN_VALUE, 77);
    private static final MemberUpdate UPDATE = new MemberUpdate(
            new MemberInfo("näme", "255.1.0.254:65535", "controller", "", -3), 41, MemberState.SUSPECT);
    private static final List<SwimMessage> MESSAGES = List.of(
            new SwimMessage.Ping(HEADER, -1, 5, List.of(UPDATE)),
            new SwimMessage.Ack(HEADER, 9, 5, List.of()),
            new SwimMessage.PingRequest(HEADER, 9, 5, "1.2.3.4:1", List.of(UPDATE, UPDATE)),
            new SwimMessage.Nack(HEADER, 2, List.of()),
            new SwimMessage.SyncRequest(HEADER, List.of(UPDATE)),
            new SwimMessage.SyncPage(HEADER, List.of(UPDATE)));

    @Test
    void everyMessageKindSurvivesEncodingAndDecoding() {
        for (SwimMessage message : MESSAGES) {
            assertThat(SwimCodec.decode(SwimCodec.encode(message))).contains(message);
        }
    }

    @Test
    void corruptedOrTruncatedDatagramIsRejected() {
        Random random = new Random(1);
        for (SwimMessage message : MESSAGES) {
            byte[] datagram = SwimCodec.encode(message);
            for (int i = 0; i < datagram.length; i++) {
                byte[] corrupted = datagram.clone();
                corrupted[i] ^= (byte) (1 + random.nextInt(255));
                assertThat(SwimCodec.decode(corrupted)).isEmpty();
                assertThat(SwimCodec.decode(java.util.Arrays.copyOf(datagram, i)))
                        .isEmpty();
            }
        }
    }

    @Test
    void randomBytesWithAValidChecksumAreDecodedWithoutException() {
        Random random = new Random(2);
        for (int i = 0; i < 20_000; i++) {
            byte[] datagram = new byte[6 + random.nextInt(120)];
            random.nextBytes(datagram);
            datagram[0] = 1;
            datagram[1] = (byte) (1 + random.nextInt(6));
            java.util.zip.CRC32 checksum = new java.util.zip.CRC32();
            checksum.update(datagram, 0, datagram.length - 4);
            java.nio.ByteBuffer.wrap(datagram).putInt(datagram.length - 4, (int) checksum.getValue());
            SwimCodec.decode(datagram);
        }
    }

    @Test
    void memberWithAnInvalidAddressIsRejected() {
        for (String address : new String[] {
            "",
            "1.2.3:4",
            "1.2.3.4",
            "1.2.3.256:1",
            "1.2.3.4:0",
            "1.2.3.4:65536",
            "a.2.3.4:1",
            "1.2.3.4:",
            "1.2.3.4.5:1"
        }) {
            assertThatThrownBy(() -> new MemberInfo("a", address, "r", "z", 1))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }
}
