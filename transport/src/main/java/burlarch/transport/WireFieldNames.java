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
 * The names that records of the module coordination have on the wire. That module uses no library, so its records
 * cannot carry the annotations themselves: each nested type here is the Jackson mix-in of one of them. A method has
 * the name of the record's component, an enum constant that of the enum's; the annotation gives the name on the wire,
 * which never changes. Whoever renames a component renames the method here and leaves the annotation.
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

    /** Makes the mapper use these names. */
    static void apply(ObjectMapper mapper) {
        mapper.setMixIns(MIX_INS);
    }

    /** Returns the mix-in of each type that crosses the wire and has no annotations of its own. */
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

        /** Absent for a proposer that holds no value, and from the release before. */
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
