package burlarch.transport;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The messages of the golden frames, by file name. */
final class GoldenMessages {
    private static final ProposalNumber PROPOSAL_NUMBER = new ProposalNumber(1L << 40, "controller-1");
    private static final ProposalNumber LOWER_PROPOSAL_NUMBER = new ProposalNumber(41, "controller-2");
    private static final RegisterValue VALUE = new RegisterValue(
            List.of(new AcceptorMember("s1", "10.0.0.1:7001"), new AcceptorMember("s2", "10.0.0.2:7001")),
            new byte[] {0, -1, 127, -128});
    private static final RegisterValue VALUE_OF_CHANGING_SET = new RegisterValue(
            List.of(
                    new AcceptorMember("s1", "10.0.0.1:7001"),
                    new AcceptorMember("-s2", "10.0.0.2:7001"),
                    new AcceptorMember("+s3", "10.0.0.3:7001")),
            new byte[0]);

    private GoldenMessages() {}

    static Map<String, NodeMessage> messagesByFileName() {
        Map<String, NodeMessage> messages = new LinkedHashMap<>();
        messages.put("hello", new NodeMessage.Hello("r1", "router", "10.0.0.9:7001", "nörth", "disk-1", "r1/1"));
        messages.put("hello-without-disk", new NodeMessage.Hello("r1", "router", "10.0.0.9:7001", "north", "", "r1/1"));
        messages.put("ping", new NodeMessage.Ping());
        messages.put("decided", new NodeMessage.Committed(PROPOSAL_NUMBER, VALUE));
        messages.put("decided-without-value", NodeMessage.Committed.withoutValue(PROPOSAL_NUMBER));
        messages.put("decided-changing-set", new NodeMessage.Committed(PROPOSAL_NUMBER, VALUE_OF_CHANGING_SET));
        messages.put(
                "controller-status",
                new NodeMessage.ControllerStatus(PROPOSAL_NUMBER, List.of("10.0.0.1:7001", "10.0.0.2:7001"), false));
        messages.put("controller-status-abstains", new NodeMessage.ControllerStatus(PROPOSAL_NUMBER, List.of(), true));
        messages.put("fetch-decided", new NodeMessage.FetchCommitted());
        messages.put("configuration-update", new NodeMessage.ConfigurationUpdate(9, utf8("{\"config_version\":9}")));
        messages.put("configuration-change", new NodeMessage.ConfigurationChange(8, 9, new byte[] {5, 0, -5}));
        messages.put("configuration-change-whole", new NodeMessage.ConfigurationChange(0, 9, new byte[] {5, 0, -5}));
        messages.put("fetch-configuration", new NodeMessage.FetchConfiguration());
        messages.put("configuration-ack", new NodeMessage.ConfigurationAck(9));
        messages.put("confirm-configuration", new NodeMessage.ConfirmConfiguration(7));
        messages.put("configuration-confirmed", new NodeMessage.ConfigurationConfirmed(7, 9));
        messages.put("instances-update-whole", new NodeMessage.InstancesUpdate(3, true, instancesOfEachState()));
        messages.put("instances-update", new NodeMessage.InstancesUpdate(4, false, List.of()));
        messages.put("instances-ack", new NodeMessage.InstancesAck(Long.MAX_VALUE));
        messages.put("announced", new NodeMessage.InstanceAnnouncements(instancesOfEachState()));
        messages.put("fleet-update", new NodeMessage.FleetUpdate(List.of("10.0.0.1:7001"), 400));
        messages.put("kept-parts", new NodeMessage.PrefixCacheEvents(new byte[] {1, 0, -1}));
        putRegisterMessages(messages);
        return messages;
    }

    private static void putRegisterMessages(Map<String, NodeMessage> messages) {
        messages.put("prepare", register(new RegisterMessage.PrepareRequest(1, PROPOSAL_NUMBER, null)));
        messages.put(
                "prepare-known",
                register(new RegisterMessage.PrepareRequest(1, PROPOSAL_NUMBER, LOWER_PROPOSAL_NUMBER)));
        messages.put(
                "promise",
                register(new RegisterMessage.PrepareResponse(
                        2, "s1", true, PROPOSAL_NUMBER, LOWER_PROPOSAL_NUMBER, VALUE)));
        messages.put(
                "promise-nothing-accepted",
                register(new RegisterMessage.PrepareResponse(
                        2, "s1", true, PROPOSAL_NUMBER, ProposalNumber.ZERO, null)));
        messages.put(
                "promise-refused",
                register(new RegisterMessage.PrepareResponse(
                        2, "s1", false, PROPOSAL_NUMBER, ProposalNumber.ZERO, null)));
        messages.put("accept", register(new RegisterMessage.AcceptRequest(3, PROPOSAL_NUMBER, VALUE)));
        messages.put(
                "accept-changing-set",
                register(new RegisterMessage.AcceptRequest(-3, PROPOSAL_NUMBER, VALUE_OF_CHANGING_SET)));
        messages.put("accepted", register(new RegisterMessage.AcceptResponse(4, "s2", true, PROPOSAL_NUMBER)));
        messages.put("accepted-refused", register(new RegisterMessage.AcceptResponse(4, "s2", false, PROPOSAL_NUMBER)));
    }

    private static NodeMessage register(RegisterMessage message) {
        return new NodeMessage.RegisterProtocol(message);
    }

    private static List<Instance> instancesOfEachState() {
        List<Instance> instances = new ArrayList<>();
        for (InstanceState state : InstanceState.values()) {
            instances.add(new Instance(
                    "i-" + instances.size(),
                    "chat",
                    "10.0.0.3:8000",
                    "north",
                    "2.1",
                    4,
                    state,
                    1_500,
                    List.of(new Instance.ServedModel("m", 3), new Instance.ServedModel("n", 0)),
                    77));
        }
        return instances;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
