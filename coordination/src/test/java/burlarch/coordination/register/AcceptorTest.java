package burlarch.coordination.register;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.util.List;
import org.junit.jupiter.api.Test;

class AcceptorTest {
    private static final ProposalNumber LOW = new ProposalNumber(3, "a");
    private static final ProposalNumber HIGH = new ProposalNumber(3, "b");
    private static final RegisterValue VALUE =
            new RegisterValue(List.of(new AcceptorMember("s1", "10.0.0.1:7000")), new byte[] {1});

    private final Acceptor acceptor = new Acceptor("s1", AcceptorState.EMPTY);

    @Test
    void firstPrepareIsGrantedWithoutAValue() {
        AcceptorTransition transition = acceptor.onPrepare(new RegisterMessage.PrepareRequest(7, LOW, null));

        assertThat(transition.changed()).isTrue();
        assertThat(transition.state()).isEqualTo(new AcceptorState(LOW, ProposalNumber.ZERO, null));
        assertThat(transition.response())
                .isEqualTo(new RegisterMessage.PrepareResponse(7, "s1", true, LOW, ProposalNumber.ZERO, null));
    }

    @Test
    void stateIsUnchangedUntilPersisted() {
        acceptor.onPrepare(new RegisterMessage.PrepareRequest(7, HIGH, null));
        assertThat(acceptor.state()).isEqualTo(AcceptorState.EMPTY);

        assertThat(prepare(LOW).granted()).isTrue();
    }

    @Test
    void numbersBelowThePreparedOneAreRejected() {
        prepare(HIGH);

        assertThat(prepare(LOW))
                .isEqualTo(new RegisterMessage.PrepareResponse(1, "s1", false, HIGH, ProposalNumber.ZERO, null));
        assertThat(accept(LOW)).isEqualTo(new RegisterMessage.AcceptResponse(1, "s1", false, HIGH));
        assertThat(acceptor.state().value()).isNull();
    }

    @Test
    void valueAcceptedUnderThePreparedNumberIsReported() {
        prepare(LOW);
        assertThat(accept(LOW)).isEqualTo(new RegisterMessage.AcceptResponse(1, "s1", true, LOW));

        assertThat(prepare(HIGH)).isEqualTo(new RegisterMessage.PrepareResponse(1, "s1", true, HIGH, LOW, VALUE));
    }

    @Test
    void unpreparedNumberIsAcceptedAndLowerOnesAreRejected() {
        assertThat(accept(HIGH).granted()).isTrue();
        assertThat(prepare(LOW).granted()).isFalse();
    }

    @Test
    void duplicateRequestsAreGrantedWithoutAWrite() {
        prepare(LOW);
        assertThat(acceptor.onPrepare(new RegisterMessage.PrepareRequest(2, LOW, null))
                        .changed())
                .isFalse();
        accept(LOW);
        AcceptorTransition repeated = acceptor.onAccept(new RegisterMessage.AcceptRequest(2, LOW, VALUE));
        assertThat(repeated.changed()).isFalse();
        assertThat(repeated.response()).isEqualTo(new RegisterMessage.AcceptResponse(2, "s1", true, LOW));
    }

    /** The proposer only needs to know that nothing newer was accepted here. */
    @Test
    void valueKnownToTheProposerIsReportedByItsNumberAlone() {
        acceptor.onPersisted(acceptor.onAccept(new RegisterMessage.AcceptRequest(1, LOW, VALUE))
                .state());

        assertThat(response(LOW)).isEqualTo(new RegisterMessage.PrepareResponse(1, "s1", true, HIGH, LOW, null));
        assertThat(response(HIGH)).isEqualTo(new RegisterMessage.PrepareResponse(1, "s1", true, HIGH, LOW, null));
        assertThat(response(ProposalNumber.ZERO))
                .isEqualTo(new RegisterMessage.PrepareResponse(1, "s1", true, HIGH, LOW, VALUE));
    }

    private RegisterMessage response(ProposalNumber known) {
        return acceptor.onPrepare(new RegisterMessage.PrepareRequest(1, HIGH, known))
                .response();
    }

    private RegisterMessage.PrepareResponse prepare(ProposalNumber number) {
        AcceptorTransition transition = acceptor.onPrepare(new RegisterMessage.PrepareRequest(1, number, null));
        acceptor.onPersisted(transition.state());
        return (RegisterMessage.PrepareResponse) transition.response();
    }

    private RegisterMessage.AcceptResponse accept(ProposalNumber number) {
        AcceptorTransition transition = acceptor.onAccept(new RegisterMessage.AcceptRequest(1, number, VALUE));
        acceptor.onPersisted(transition.state());
        return (RegisterMessage.AcceptResponse) transition.response();
    }
}
