package burlarch.controller.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.CommittedState;
import burlarch.controller.register.RegisterClient;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.proposal.ChangeDecision;
import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.testing.RecordingLink;
import burlarch.testing.RecordingLinks;
import burlarch.testing.VirtualLoop;
import burlarch.transport.NodeMessage.ConfigurationConfirmed;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ConfigurationConfirmationServiceTest {
    private static final AcceptorMember OWN = new AcceptorMember("disk-1", "10.0.0.1:9000");

    private final VirtualLoop loop = new VirtualLoop();
    private final List<CompletableFuture<ProposalResult>> reads = new ArrayList<>();
    private final RecordingLink one = new RecordingLink("10.0.1.1:9000");
    private final RecordingLink two = new RecordingLink("10.0.1.2:9000");
    private final ConfigurationConfirmationService service = service();

    private ConfigurationConfirmationService service() {
        ControllerPeers peers = new ControllerPeers(loop, new RecordingLinks(), OWN.address());
        CommittedState committed = new CommittedState(RegisterView.ofInitialAcceptors(List.of(OWN)));
        RegisterClient register = new RegisterClient(
                (change, timeout) -> {
                    reads.add(new CompletableFuture<>());
                    return reads.get(reads.size() - 1);
                },
                committed,
                peers);
        return new ConfigurationConfirmationService(loop, register);
    }

    /** The register holds no value: the version of the configuration is 0. */
    private void endRead(int index) {
        reads.get(index).complete(new ProposalResult.Chosen(ProposalNumber.ZERO, null, ChangeDecision.keep()));
    }

    private void passBatchDelay() {
        loop.pass(ConfigurationConfirmationService.BATCH_DELAY_NANOS);
    }

    @Test
    void oneReadServesAllThatAskedBeforeItStarted() {
        service.onRequest(one, 4);
        service.onRequest(two, 9);
        assertThat(reads).isEmpty();
        passBatchDelay();
        assertThat(reads).hasSize(1);
        endRead(0);
        assertThat(one.takeSent()).containsExactly(new ConfigurationConfirmed(4, 0));
        assertThat(two.takeSent()).containsExactly(new ConfigurationConfirmed(9, 0));
    }

    @Test
    void aRequestDuringAReadWaitsForTheNextOne() {
        service.onRequest(one, 4);
        passBatchDelay();
        service.onRequest(two, 9);
        endRead(0);
        assertThat(two.takeSent()).isEmpty();
        passBatchDelay();
        endRead(1);
        assertThat(two.takeSent()).containsExactly(new ConfigurationConfirmed(9, 0));
    }

    @Test
    void aReadThatNoQuorumConfirmsGetsNoResponseAndALaterOneDoes() {
        service.onRequest(one, 4);
        passBatchDelay();
        reads.get(0).complete(new ProposalResult.NotStarted());
        assertThat(one.takeSent()).isEmpty();
        service.onRequest(one, 5);
        passBatchDelay();
        endRead(1);
        assertThat(one.takeSent()).containsExactly(new ConfigurationConfirmed(5, 0));
    }

    @Test
    void ofTheRequestsOfOneRouterTheNewestIsAnswered() {
        service.onRequest(one, 4);
        service.onRequest(one, 5);
        passBatchDelay();
        endRead(0);
        assertThat(one.takeSent()).containsExactly(new ConfigurationConfirmed(5, 0));
    }

    @Test
    void aRouterThatHasLeftIsNotWaitedFor() {
        service.onRequest(one, 4);
        service.onRouterDisconnected(one);
        passBatchDelay();
        endRead(0);
        assertThat(one.takeSent()).isEmpty();
    }
}
