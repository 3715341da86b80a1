package burlarch.simulation.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.controller.ControllerRuntime;
import burlarch.controller.register.Proposer;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.proposal.ChangeDecision;
import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.coordination.register.proposal.RegisterChange;
import burlarch.simulation.NodeContext;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.fleet.CoordinationFleet;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.plan.FleetNames;
import burlarch.simulation.coordination.plan.FleetPlan;
import burlarch.transport.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Verifies that a controller seals the value (commits it again) whenever an acceptor set change may be unfinished:
 * after a start, after a failed change and after the loss of another controller. Otherwise the change is completed
 * much later and then needs a quorum of acceptors that may be lost. There are no operators and no instances, so
 * nothing else writes.
 */
class SealingTest {
    private static final FleetPlan PLAN = FleetPlan.parse(
            "fleet seed=7 controllers=3 spares=1 routers=0 operators=0 engines=0 tolerance=1 seconds=0");
    private static final long SETTLE_NANOS = 20 * Simulation.SECOND;
    /** The controller with the last address waits for several of its checks, which are 0.25 s apart. */
    private static final long MAX_SEAL_NANOS = 4 * Simulation.SECOND;
    /** Less than the time for which a spare that failed to join is skipped. */
    private static final long MAX_SEAL_AFTER_FAILURE_NANOS = 900 * Simulation.MILLISECOND;

    private static final String SPARE = FleetNames.controller(4);

    private final RecordingOverrides registers = new RecordingOverrides();
    private final CoordinationFleet fleet = new CoordinationFleet(PLAN, registers);
    private final Simulation simulation = fleet.simulation();

    @BeforeEach
    void startAndSettle() {
        fleet.startAll();
        simulation.runUntil(SETTLE_NANOS);
    }

    @Test
    void withoutFaultsNoControllerSeals() {
        registers.sealedBy.clear();
        simulation.runFor(MAX_SEAL_NANOS);
        assertThat(registers.sealedBy).isEmpty();
    }

    @Test
    void sealsAfterTheFirstStart() {
        assertThat(registers.sealedBy).isNotEmpty();
    }

    @Test
    void sealsAfterTheLossOfAnotherController() {
        registers.sealedBy.clear();
        fleet.kill(FleetNames.controller(3));
        simulation.runFor(MAX_SEAL_NANOS);
        assertThat(registers.sealedBy).isNotEmpty();
    }

    @Test
    void sealsAfterARestart() {
        String restarted = FleetNames.controller(1);
        fleet.kill(restarted);
        simulation.runFor(MAX_SEAL_NANOS);
        registers.sealedBy.clear();
        fleet.start(restarted);
        simulation.runFor(MAX_SEAL_NANOS);
        assertThat(registers.sealedBy).contains(restarted);
    }

    /** The spare is to replace the retired controller; the seal for the loss itself comes before that. */
    @Test
    void sealsAfterAFailedAcceptorSetChange() {
        fleet.start(SPARE);
        simulation.runFor(SETTLE_NANOS);
        registers.failSetChanges = true;
        fleet.retire(FleetNames.controller(3));
        while (registers.lastFailedController == null && simulation.now() < 4 * SETTLE_NANOS) {
            simulation.runFor(Simulation.MILLISECOND);
        }
        assertThat(registers.lastFailedController).as("a change was tried").isNotNull();
        String failed = registers.lastFailedController;
        registers.sealedBy.clear();
        simulation.runFor(MAX_SEAL_AFTER_FAILURE_NANOS);
        assertThat(registers.sealedBy).contains(failed);
    }

    /** Records which controllers seal the value; on request, acceptor set changes end with an unknown outcome. */
    private static final class RecordingOverrides implements ComponentOverrides {
        private final List<String> sealedBy = new ArrayList<>();
        private boolean failSetChanges;
        private String lastFailedController;

        @Override
        public ControllerRuntime controllerCore(EventLoop loop, NodeContext context) {
            return new ControllerRuntime(loop) {
                @Override
                protected Proposer proposer(Proposer realProposer) {
                    return (change, timeoutNanos) ->
                            new RecordedProposal(context.name(), change).propose(realProposer, timeoutNanos);
                }
            };
        }

        /** One proposal of a controller. */
        private final class RecordedProposal {
            private final String controller;
            private final RegisterChange change;
            private boolean fails;

            RecordedProposal(String controller, RegisterChange change) {
                this.controller = controller;
                this.change = change;
            }

            CompletableFuture<ProposalResult> propose(Proposer realProposer, long timeoutNanos) {
                return realProposer.propose(this::decide, timeoutNanos).thenApply(this::replaceResult);
            }

            private ChangeDecision decide(RegisterValue current) {
                ChangeDecision decision = change.decide(current);
                if (decision instanceof ChangeDecision.Seal) {
                    sealedBy.add(controller);
                }
                fails = failSetChanges
                        && decision instanceof ChangeDecision.Write write
                        && !current.members().equals(write.next().members());
                return fails ? ChangeDecision.keep() : decision;
            }

            private ProposalResult replaceResult(ProposalResult result) {
                if (!fails) {
                    return result;
                }
                lastFailedController = controller;
                return new ProposalResult.Unknown();
            }
        }
    }
}
