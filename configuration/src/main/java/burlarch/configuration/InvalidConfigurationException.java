package burlarch.configuration;

import java.util.List;
import java.util.stream.Collectors;

/** A configuration or patch that can't be read whole or breaks a rule. Never without a problem. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;
    /** As many problems go into the message at most. */
    private static final int TOLD_MOST = 10;

    private final transient List<ConfigurationProblem> problems;

    InvalidConfigurationException(List<ConfigurationProblem> problems) {
        super(told(problems));
        this.problems = List.copyOf(problems);
    }

    InvalidConfigurationException(String field, String reason) {
        this(List.of(new ConfigurationProblem(field, reason)));
    }

    private static String told(List<ConfigurationProblem> problems) {
        String first = problems.stream()
                .limit(TOLD_MOST)
                .map(ConfigurationProblem::toString)
                .collect(Collectors.joining("; "));
        int untold = problems.size() - TOLD_MOST;
        return untold > 0 ? first + "; and " + untold + " more" : first;
    }

    /** All that was found: of the single fields, or if those are sound, of how they fit together. */
    public List<ConfigurationProblem> problems() {
        return problems;
    }
}
