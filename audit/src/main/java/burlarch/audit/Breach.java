package burlarch.audit;

/**
 * One rule broken once.
 *
 * @param subject  the request's id, or the node's
 * @param evidence what was seen, with times in milliseconds from the run's first record
 */
public record Breach(Rule rule, String subject, String evidence) {
    /** The rules, in the words of the project's pages. */
    public enum Rule {
        ONE_ANSWER("one final answer to each request taken"),
        NO_SECOND_COPY("never two attempts of one request out at once"),
        ATTEMPTS("at most so many attempts a request"),
        NO_UNSAFE_REPEAT("what may have run is repeated only if its class allows it"),
        DRAIN("nothing new to a node after its drain or end was told"),
        COLD_START("no cold node pushed over"),
        UNASKED("nothing at a node that no client sent"),
        UNMADE("no answer that no node made"),
        HELD("what is given up is answered at once");

        private final String words;

        Rule(String words) {
            this.words = words;
        }

        public String words() {
            return words;
        }
    }

    @Override
    public String toString() {
        return rule + " " + subject + ": " + evidence;
    }
}
