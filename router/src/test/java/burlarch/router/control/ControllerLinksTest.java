package burlarch.router.control;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.DocumentDelta;
import burlarch.testing.RecordingLink;
import burlarch.testing.RecordingLinks;
import burlarch.transport.NodeMessage.ConfigurationAck;
import burlarch.transport.NodeMessage.ConfigurationChange;
import burlarch.transport.NodeMessage.FetchConfiguration;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A router puts exactly the committed documents into force, whether sent completely or as changes. */
class ControllerLinksTest {
    private static final byte[] FIRST = bytes("{\"config_version\":1,\"routes\":[\"a\",\"b\",\"c\"]}");
    private static final byte[] SECOND = bytes("{\"config_version\":2,\"routes\":[\"a\",\"x\",\"c\"]}");
    private static final byte[] THIRD = bytes("{\"config_version\":3,\"routes\":[\"a\",\"x\",\"y\"]}");

    private final List<String> inForce = new ArrayList<>();
    private final ControllerLinks links = new ControllerLinks(new RecordingHandler());
    private final RecordingLink firstController = new RecordingLink("core-1:1");
    private final RecordingLink secondController = new RecordingLink("core-2:1");

    @BeforeEach
    void connect() {
        links.start(new RecordingLinks(), List.of());
        links.onConnected(firstController);
        links.onConnected(secondController);
    }

    @Test
    void versionInForceIsAcknowledgedOnConnect() {
        assertThat(firstController.takeSent()).containsExactly(new ConfigurationAck(0));
        links.onMessage(firstController, completeDocument(1, FIRST));
        RecordingLink laterController = new RecordingLink("core-3:1");
        links.onConnected(laterController);
        assertThat(laterController.takeSent()).containsExactly(new ConfigurationAck(1));
    }

    @Test
    void changeOfTheVersionInForceIsAppliedAndAcknowledgedToAll() {
        links.onMessage(firstController, completeDocument(1, FIRST));
        discardSent();
        links.onMessage(secondController, change(1, FIRST, 2, SECOND));
        assertThat(inForce).containsExactly(text(FIRST), text(SECOND));
        assertThat(firstController.takeSent()).containsExactly(new ConfigurationAck(2));
        assertThat(secondController.takeSent()).containsExactly(new ConfigurationAck(2));
    }

    @Test
    void changeWithAnotherBaseRequestsTheCompleteDocumentOnce() {
        links.onMessage(firstController, completeDocument(1, FIRST));
        discardSent();
        links.onMessage(firstController, change(2, SECOND, 3, THIRD));
        links.onMessage(firstController, change(2, SECOND, 3, THIRD));
        assertThat(firstController.takeSent()).containsExactly(new FetchConfiguration());
        assertThat(inForce).containsExactly(text(FIRST));
        links.onMessage(firstController, completeDocument(3, THIRD));
        assertThat(inForce).containsExactly(text(FIRST), text(THIRD));
    }

    @Test
    void completeDocumentIsRequestedAgainAfterAnOutdatedOneArrived() {
        links.onMessage(firstController, completeDocument(1, FIRST));
        links.onMessage(firstController, change(7, THIRD, 2, SECOND));
        links.onMessage(secondController, completeDocument(2, SECOND));
        links.onMessage(firstController, completeDocument(2, SECOND));
        discardSent();
        links.onMessage(firstController, change(7, FIRST, 3, THIRD));
        assertThat(firstController.takeSent()).containsExactly(new FetchConfiguration());
    }

    @Test
    void corruptedChangeIsNeverApplied() {
        links.onMessage(firstController, completeDocument(1, FIRST));
        discardSent();
        byte[] delta = DocumentDelta.between(FIRST, SECOND);
        for (int offset = 0; offset < delta.length; offset++) {
            byte[] corrupted = delta.clone();
            corrupted[offset] ^= 1;
            links.onMessage(firstController, new ConfigurationChange(1, 2, corrupted));
            links.onMessage(firstController, new ConfigurationChange(0, 2, corrupted));
        }
        assertThat(inForce).containsExactly(text(FIRST));
        assertThat(firstController.takeSent()).doesNotContain(new ConfigurationAck(2));
    }

    @Test
    void olderVersionIsAnsweredWithTheVersionInForce() {
        links.onMessage(firstController, completeDocument(2, SECOND));
        discardSent();
        links.onMessage(firstController, completeDocument(1, FIRST));
        assertThat(firstController.takeSent()).containsExactly(new ConfigurationAck(2));
        assertThat(inForce).containsExactly(text(SECOND));
    }

    private void discardSent() {
        firstController.takeSent();
        secondController.takeSent();
    }

    private static ConfigurationChange completeDocument(long version, byte[] document) {
        return change(0, DocumentDelta.NO_BASE, version, document);
    }

    private static ConfigurationChange change(long baseVersion, byte[] baseDocument, long version, byte[] document) {
        return new ConfigurationChange(baseVersion, version, DocumentDelta.between(baseDocument, document));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private final class RecordingHandler extends IgnoringUpdateHandler {
        @Override
        public boolean onConfiguration(long version, byte[] json) {
            inForce.add(text(json));
            return true;
        }
    }
}
