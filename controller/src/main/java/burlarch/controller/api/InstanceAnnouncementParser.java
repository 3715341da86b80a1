package burlarch.controller.api;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceRegistry;
import burlarch.coordination.registry.InstanceState;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Parser of the body of an instance's heartbeat. Unknown fields are ignored. */
final class InstanceAnnouncementParser {
    private static final int MAX_MODELS = 64;
    /** Limit of the names of all models of one instance; thousands of instances are kept. */
    private static final int MAX_MODEL_CHARACTERS = 2048;

    private InstanceAnnouncementParser() {}

    /**
     * Parses the instance that a heartbeat describes.
     *
     * @throws ControlException if the body is not a JSON object, or if its service, address, state or sequence is
     *     missing or invalid
     */
    static Instance parse(String id, byte[] body) {
        JsonNode json = ControlJson.object(body);
        return new Instance(
                id,
                ControlJson.requiredText(json, "service"),
                address(json),
                ControlJson.optionalText(json, "zone"),
                ControlJson.optionalText(json, "config_version"),
                Math.max(0, json.path("capacity").asInt()),
                state(json),
                Math.max(0, json.path("warmup_left_ms").asLong()),
                models(json.path("models")),
                sequence(json));
    }

    private static long sequence(JsonNode json) {
        long sequence = ControlJson.wholeNumber(json, "sequence");
        if (sequence < 0 || sequence >= InstanceRegistry.LEFT_SEQUENCE) {
            throw new ControlException(ErrorKind.INVALID, "sequence", "out of range");
        }
        return sequence;
    }

    private static String address(JsonNode json) {
        String address = ControlJson.requiredText(json, "address");
        int colon = address.lastIndexOf(':');
        if (colon <= 0 || colon == address.length() - 1) {
            throw new ControlException(ErrorKind.INVALID, "address", "must be IP:PORT");
        }
        return address;
    }

    private static InstanceState state(JsonNode json) {
        return switch (ControlJson.requiredText(json, "state")) {
            case "ready" -> InstanceState.READY;
            case "draining" -> InstanceState.DRAINING;
            default -> throw new ControlException(ErrorKind.INVALID, "state", "must be ready or draining");
        };
    }

    private static List<ServedModel> models(JsonNode list) {
        if (list.size() > MAX_MODELS) {
            throw new ControlException(ErrorKind.INVALID, "models", "too many");
        }
        List<ServedModel> models = new ArrayList<>(list.size());
        int characters = 0;
        for (JsonNode model : list) {
            String name = ControlJson.requiredText(model, "name");
            characters += name.length();
            models.add(new ServedModel(name, model.path("config_version").asLong()));
        }
        if (characters > MAX_MODEL_CHARACTERS) {
            throw new ControlException(ErrorKind.INVALID, "models", "names too long");
        }
        return List.copyOf(models);
    }
}
