package burlarch.transport;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.coordination.register.ProposalNumber;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that a lower version, revision or proposal number is rejected as late or repeated. */
class MessageOrderValidatorTest {
    static Stream<LongFunction<NodeMessage>> numbered() {
        return Stream.of(
                version -> new NodeMessage.ConfigurationUpdate(version, new byte[0]),
                version -> new NodeMessage.ConfigurationChange(1, version, new byte[0]),
                NodeMessage.ConfigurationAck::new,
                NodeMessage.InstancesAck::new,
                revision -> new NodeMessage.InstancesUpdate(revision, false, List.of()),
                term -> NodeMessage.Committed.withoutValue(new ProposalNumber(term, "p")),
                term -> new NodeMessage.ControllerStatus(new ProposalNumber(term, "p"), List.of(), false));
    }

    @ParameterizedTest
    @MethodSource("numbered")
    void equalAndHigherNumbersAreAcceptedAndLowerNumbersAreRejected(LongFunction<NodeMessage> message) {
        MessageOrderValidator validator = new MessageOrderValidator();
        assertThatCode(() -> {
                    validator.accept(message.apply(4));
                    validator.accept(message.apply(4));
                    validator.accept(message.apply(9));
                })
                .doesNotThrowAnyException();
        assertThatThrownBy(() -> validator.accept(message.apply(8)))
                .isInstanceOf(FrameException.class)
                .hasMessageContaining("late or repeated");
    }
}
