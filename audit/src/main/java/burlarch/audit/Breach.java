package burlarch.audit;

/**
 * One violation of one rule.
 *
 * @param rule     the rule that was violated
 * @param subject  id of the request or of the node concerned
 * @param evidence what the records show, with times in milliseconds since the run's first record
 */
public record Breach(Rule rule, String subject, String evidence) {
    /** The rules that the audit checks. */
    public enum Rule {
        ONE_ANSWER("exactly one final response to each accepted request"),
        NO_SECOND_COPY("never two attempts of one request in flight at once"),
        ATTEMPTS("no more attempts of a request than allowed"),
        NO_UNSAFE_REPEAT("a request that may have been executed is repeated only if its class allows it"),
        DRAIN("no new attempt to a node after its drain or removal was announced"),
        COLD_START("no overload of a cold node"),
        UNASKED("no attempt at a node without a client request"),
        UNMADE("no successful response that no node produced"),
        HELD("a request that is not attempted any further is answered promptly");

        private final String description;

        Rule(String description) {
            this.description = description;
        }

        /** The rule as one phrase. */
        public String description() {
            return description;
        }
    }

    @Override
    public String toString() {
        return rule + " " + subject + ": " + evidence;
    }
}
