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

/** Tests the batching of quorum reads and the responses to routers. */
class ConfigurationConfirmationServiceTest {
    private static final AcceptorMember OWN = new AcceptorMember("disk-1", "10.0.0.1:9000");

    private final VirtualLoop loop = new VirtualLoop();
    private final List<CompletableFuture<ProposalResult>> reads = new ArrayList<>();
    private final RecordingLink firstRouter = new RecordingLink("10.0.1.1:9000");
    private final RecordingLink secondRouter = new RecordingLink("10.0.1.2:9000");
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

    /** Completes a read of a register without a value, whose configuration version is 0. */
    private void completeRead(int index) {
        reads.get(index).complete(new ProposalResult.Chosen(ProposalNumber.ZERO, null, ChangeDecision.keep()));
    }

    private void passBatchDelay() {
        loop.pass(ConfigurationConfirmationService.BATCH_DELAY_NANOS);
    }

    @Test
    void oneReadServesAllRequestsBeforeItsStart() {
        service.onRequest(firstRouter, 4);
        service.onRequest(secondRouter, 9);
        assertThat(reads).isEmpty();
        passBatchDelay();
        assertThat(reads).hasSize(1);
        completeRead(0);
        assertThat(firstRouter.takeSent()).containsExactly(new ConfigurationConfirmed(4, 0));
        assertThat(secondRouter.takeSent()).containsExactly(new ConfigurationConfirmed(9, 0));
    }

    @Test
    void requestDuringReadWaitsForNextRead() {
        service.onRequest(firstRouter, 4);
        passBatchDelay();
        service.onRequest(secondRouter, 9);
        completeRead(0);
        assertThat(secondRouter.takeSent()).isEmpty();
        passBatchDelay();
        completeRead(1);
        assertThat(secondRouter.takeSent()).containsExactly(new ConfigurationConfirmed(9, 0));
    }

    @Test
    void failedReadSendsNoResponseAndLaterReadDoes() {
        service.onRequest(firstRouter, 4);
        passBatchDelay();
        reads.get(0).complete(new ProposalResult.NotStarted());
        assertThat(firstRouter.takeSent()).isEmpty();
        service.onRequest(firstRouter, 5);
        passBatchDelay();
        completeRead(1);
        assertThat(firstRouter.takeSent()).containsExactly(new ConfigurationConfirmed(5, 0));
    }

    @Test
    void onlyNewestRequestOfRouterIsAnswered() {
        service.onRequest(firstRouter, 4);
        service.onRequest(firstRouter, 5);
        passBatchDelay();
        completeRead(0);
        assertThat(firstRouter.takeSent()).containsExactly(new ConfigurationConfirmed(5, 0));
    }

    @Test
    void disconnectedRouterGetsNoResponse() {
        service.onRequest(firstRouter, 4);
        service.onRouterDisconnected(firstRouter);
        passBatchDelay();
        completeRead(0);
        assertThat(firstRouter.takeSent()).isEmpty();
    }
}
