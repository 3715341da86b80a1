package burlarch.transport;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;

/** Sample messages: at least one of each type, with a value for every field where the type allows it. */
final class SampleMessages {
    static final ProposalNumber PROPOSAL_NUMBER = new ProposalNumber(1L << 40, "controller-1");
    static final RegisterValue VALUE = new RegisterValue(
            List.of(new AcceptorMember("s1", "10.0.0.1:7001"), new AcceptorMember("s2", "10.0.0.2:7001")),
            new byte[] {0, -1, 127, -128});

    private SampleMessages() {}

    static NodeMessage.Hello hello(String name) {
        return new NodeMessage.Hello(name, "router", "10.0.0.9:7001", "north", "", name + "/1");
    }

    static Instance instance() {
        return new Instance(
                "i-1",
                "chat",
                "10.0.0.3:8000",
                "north",
                "2.1",
                4,
                InstanceState.DRAINING,
                1_500,
                List.of(new Instance.ServedModel("m", 3)),
                77);
    }

    static Stream<NodeMessage> all() {
        return Stream.of(
                hello("r1"),
                new NodeMessage.Ping(),
                new NodeMessage.Committed(PROPOSAL_NUMBER, VALUE),
                new NodeMessage.ControllerStatus(PROPOSAL_NUMBER, List.of("10.0.0.1:7001", "10.0.0.2:7001"), false),
                new NodeMessage.FetchCommitted(),
                new NodeMessage.ConfigurationUpdate(9, "{\"a\":1}".getBytes(StandardCharsets.UTF_8)),
                new NodeMessage.ConfigurationChange(8, 9, new byte[] {5, 0, -5}),
                new NodeMessage.FetchConfiguration(),
                new NodeMessage.ConfigurationAck(-1),
                new NodeMessage.ConfirmConfiguration(7),
                new NodeMessage.ConfigurationConfirmed(7, 9),
                new NodeMessage.InstancesUpdate(3, true, List.of(instance(), instance())),
                new NodeMessage.InstancesAck(Long.MAX_VALUE),
                new NodeMessage.InstanceAnnouncements(List.of(instance())),
                new NodeMessage.FleetUpdate(List.of("10.0.0.1:7001"), 400),
                new NodeMessage.PrefixCacheEvents(new byte[] {1, 0, -1}),
                new NodeMessage.RegisterProtocol(new RegisterMessage.PrepareRequest(1, PROPOSAL_NUMBER, null)),
                new NodeMessage.RegisterProtocol(
                        new RegisterMessage.PrepareResponse(2, "s1", true, PROPOSAL_NUMBER, PROPOSAL_NUMBER, VALUE)),
                new NodeMessage.RegisterProtocol(new RegisterMessage.PrepareResponse(
                        2, "s1", false, PROPOSAL_NUMBER, ProposalNumber.ZERO, null)),
                new NodeMessage.RegisterProtocol(new RegisterMessage.AcceptRequest(3, PROPOSAL_NUMBER, VALUE)),
                new NodeMessage.RegisterProtocol(new RegisterMessage.AcceptResponse(4, "s2", false, PROPOSAL_NUMBER)));
    }
}
