package burlarch.coordination.register;

import burlarch.coordination.register.AcceptorSetPlan.Candidate;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Which acceptors of a set can be reached from one controller.
 *
 * @param missing those that can't, and why
 * @param quorum whether the others are a quorum
 */
public record AcceptorReach(int size, List<Missing> missing, boolean quorum) {
    private static final long NANOS_A_SECOND = 1_000_000_000L;

    /** Why an acceptor can't be reached. */
    public enum Reason {
        NEVER_REACHED,
        OUT_OF_REACH,
        DISK_REPLACED
    }

    /** An acceptor that can't be reached; {@code forNanos} how long by now, 0 where that isn't known. */
    public record Missing(Member member, Reason reason, long forNanos) {
        @Override
        public String toString() {
            String text = AcceptorSetChange.text(member);
            return switch (reason) {
                case NEVER_REACHED -> text + " was not reached yet";
                case OUT_OF_REACH -> text + " is out of reach for " + forNanos / NANOS_A_SECOND + " s";
                case DISK_REPLACED -> text + " came back without that disk";
            };
        }
    }

    /** Judges by the controllers that are known, the own one among them. */
    public static AcceptorReach of(AcceptorSet set, List<Candidate> candidates, long nowNanos) {
        Set<String> reached = new HashSet<>();
        List<Missing> missing = new ArrayList<>();
        for (Member member : set.all()) {
            Candidate candidate = at(member.address(), candidates);
            boolean up = candidate != null && candidate.up();
            if (up && candidate.member().storage().equals(member.storage())) {
                reached.add(member.storage());
            } else if (up) {
                missing.add(new Missing(member, Reason.DISK_REPLACED, 0));
            } else {
                missing.add(away(member, candidate, nowNanos));
            }
        }
        return new AcceptorReach(set.all().size(), missing, set.hasQuorum(reached));
    }

    private static Missing away(Member member, Candidate candidate, long nowNanos) {
        return candidate == null
                ? new Missing(member, Reason.NEVER_REACHED, 0)
                : new Missing(member, Reason.OUT_OF_REACH, nowNanos - candidate.sinceNanos());
    }

    private static Candidate at(String address, List<Candidate> candidates) {
        for (Candidate candidate : candidates) {
            if (candidate.member().address().equals(address)) {
                return candidate;
            }
        }
        return null;
    }
}
