package burlarch.controller.state;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The lease of one singleton role, as recorded in the register. The annotations fix the field names in stored states.
 *
 * @param holder name of the process that holds the role, unique for each start of a process
 * @param token fencing token, higher than that of every earlier holder of any role
 */
public record Lease(@JsonProperty("holder") String holder, @JsonProperty("token") long token) {}
