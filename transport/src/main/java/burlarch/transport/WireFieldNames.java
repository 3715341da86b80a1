package burlarch.transport;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Defines the wire names of the record components and enum constants of module coordination. That module uses no
 * library, so its types cannot have annotations themselves; each nested type here is the Jackson mix-in of one of
 * them. A method has the name of the record component and an enum constant the name of the enum's constant; the
 * annotation gives the name on the wire, which never changes. To rename a component, rename the method here and keep
 * the annotation.
 */
final class WireFieldNames {
    private static final Map<Class<?>, Class<?>> MIX_INS = new LinkedHashMap<>();

    static {
        MIX_INS.put(ProposalNumber.class, ProposalNumberNames.class);
        MIX_INS.put(AcceptorMember.class, AcceptorMemberNames.class);
        MIX_INS.put(RegisterValue.class, RegisterValueNames.class);
        MIX_INS.put(RegisterMessage.PrepareRequest.class, PrepareRequestNames.class);
        MIX_INS.put(RegisterMessage.PrepareResponse.class, PrepareResponseNames.class);
        MIX_INS.put(RegisterMessage.AcceptRequest.class, AcceptRequestNames.class);
        MIX_INS.put(RegisterMessage.AcceptResponse.class, AcceptResponseNames.class);
        MIX_INS.put(Instance.class, InstanceNames.class);
        MIX_INS.put(Instance.ServedModel.class, ServedModelNames.class);
        MIX_INS.put(InstanceState.class, InstanceStateNames.class);
    }

    private WireFieldNames() {}

    /** Registers the mix-ins with a mapper. */
    static void apply(ObjectMapper mapper) {
        mapper.setMixIns(MIX_INS);
    }

    /** Returns the mix-in for each type that is sent on the wire and has no annotations of its own. */
    static Map<Class<?>, Class<?>> mixIns() {
        return MIX_INS;
    }

    private interface ProposalNumberNames {
        @JsonProperty("round")
        long term();

        @JsonProperty("proposer")
        String proposer();
    }

    private interface AcceptorMemberNames {
        @JsonProperty("storage")
        String storageId();

        @JsonProperty("address")
        String address();
    }

    private interface RegisterValueNames {
        @JsonProperty("members")
        List<AcceptorMember> members();

        @JsonProperty("payload")
        byte[] payload();
    }

    private interface PrepareRequestNames {
        @JsonProperty("call")
        long callId();

        @JsonProperty("ballot")
        ProposalNumber proposalNumber();

        /** Absent if the proposer holds no value, or if the sender runs the previous release. */
        @JsonProperty("known")
        @JsonInclude(JsonInclude.Include.NON_NULL)
        @JsonSetter(nulls = Nulls.SET)
        ProposalNumber known();
    }

    private interface PrepareResponseNames {
        @JsonProperty("call")
        long callId();

        @JsonProperty("storage")
        String storageId();

        @JsonProperty("granted")
        boolean granted();

        @JsonProperty("promised")
        ProposalNumber prepared();

        @JsonProperty("accepted")
        ProposalNumber accepted();

        @JsonProperty("value")
        RegisterValue value();
    }

    private interface AcceptRequestNames {
        @JsonProperty("call")
        long callId();

        @JsonProperty("ballot")
        ProposalNumber proposalNumber();

        @JsonProperty("value")
        RegisterValue value();
    }

    private interface AcceptResponseNames {
        @JsonProperty("call")
        long callId();

        @JsonProperty("storage")
        String storageId();

        @JsonProperty("granted")
        boolean granted();

        @JsonProperty("promised")
        ProposalNumber prepared();
    }

    private interface InstanceNames {
        @JsonProperty("id")
        String id();

        @JsonProperty("service")
        String service();

        @JsonProperty("address")
        String address();

        @JsonProperty("zone")
        String zone();

        @JsonProperty("softwareVersion")
        String softwareVersion();

        @JsonProperty("capacity")
        int capacity();

        @JsonProperty("state")
        InstanceState state();

        @JsonProperty("warmupLeftMillis")
        long warmupLeftMillis();

        @JsonProperty("models")
        List<Instance.ServedModel> models();

        @JsonProperty("sequence")
        long sequence();
    }

    private interface ServedModelNames {
        @JsonProperty("name")
        String name();

        @JsonProperty("version")
        long version();
    }

    private enum InstanceStateNames {
        @JsonProperty("READY")
        READY,
        @JsonProperty("LOADING")
        LOADING,
        @JsonProperty("DRAINING")
        DRAINING,
        @JsonProperty("UNHEARD")
        UNHEARD,
        @JsonProperty("GONE")
        GONE
    }
}
