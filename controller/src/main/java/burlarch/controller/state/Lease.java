package burlarch.controller.state;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Who owns a key. The names of its fields in stored states are fixed by annotations.
 *
 * @param holder the owner's name
 * @param token fencing token, above those of all earlier owners of any key
 */
public record Lease(@JsonProperty("holder") String holder, @JsonProperty("token") long token) {}
