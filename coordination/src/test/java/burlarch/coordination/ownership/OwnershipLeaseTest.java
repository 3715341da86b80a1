package burlarch.coordination.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class OwnershipLeaseTest {
    private static final long LEASE_NANOS = 3_000;

    private final OwnershipLease lease = new OwnershipLease("a", LEASE_NANOS);

    private void claimWithPreviousOwner(String previousOwner) {
        lease.beginClaim();
        lease.onClaimAccepted(7, Optional.ofNullable(previousOwner), 0, 10);
    }

    @Test
    void ownerWithoutPredecessorActsAtOnce() {
        claimWithPreviousOwner(null);
        assertThat(lease.state()).isEqualTo(LeaseState.OWNED);
        assertThat(lease.mayAct(20)).isTrue();
        assertThat(lease.token()).isEqualTo(7);
    }

    @Test
    void newOwnerActsOnlyAfterTheTakeoverWait() {
        claimWithPreviousOwner("b");
        assertThat(lease.state()).isEqualTo(LeaseState.AWAITING_EXPIRY);
        for (long now = 100; now < 3_760; now += 100) {
            lease.onRegisterRead("a", 7, now);
            lease.onTimer(now);
            assertThat(lease.mayAct(now)).isFalse();
        }
        lease.onTimer(3_760);
        assertThat(lease.mayAct(3_760)).isTrue();
    }

    @Test
    void ownerWithoutContactPausesAfterAQuarterLeaseAndLosesItAfterACompleteLease() {
        claimWithPreviousOwner(null);
        assertThat(lease.mayAct(749)).isTrue();
        assertThat(lease.mayAct(750)).isFalse();
        lease.onRegisterRead("a", 7, 1_400);
        assertThat(lease.mayAct(2_149)).isTrue();
        assertThat(lease.mayAct(2_150)).isFalse();
        lease.onTimer(4_400);
        assertThat(lease.state()).isEqualTo(LeaseState.LOST);
        lease.onRegisterRead("a", 7, 4_500);
        assertThat(lease.mayAct(4_500)).isFalse();
    }

    @Test
    void higherTokenOrAnotherOwnerEndsTheLeaseAtOnce() {
        claimWithPreviousOwner(null);
        lease.onRegisterRead("a", 8, 5);
        assertThat(lease.state()).isEqualTo(LeaseState.LOST);
        lease.release();
        lease.beginClaim();
        lease.onClaimAccepted(9, Optional.of("a"), 10, 20);
        lease.onRegisterRead("b", 9, 15);
        assertThat(lease.mayAct(30)).isFalse();
        assertThat(lease.state()).isEqualTo(LeaseState.LOST);
    }

    @Test
    void oldViewOfTheRegisterDoesNotEndTheLease() {
        claimWithPreviousOwner("b");
        lease.onRegisterRead("b", 6, 1);
        assertThat(lease.state()).isEqualTo(LeaseState.AWAITING_EXPIRY);
    }

    @Test
    void failedClaimMayBeRepeated() {
        assertThat(lease.beginClaim()).isTrue();
        assertThat(lease.beginClaim()).isFalse();
        lease.onClaimFailed();
        assertThat(lease.beginClaim()).isTrue();
    }

    /**
     * Guards against two owners acting within one lease of each other when processes freeze, lose contact and claim
     * at random.
     */
    @Test
    void actsOfDifferentOwnersAreOneLeaseApart() {
        for (int seed = 0; seed < 300; seed++) {
            new RandomRun(seed).run();
        }
    }

    private static final class RandomRun {
        private final Random random;
        private final List<OwnershipLease> leases = new ArrayList<>();
        private final long[] unreachableUntil = new long[3];
        private String owner;
        private long token;
        private int lastActor = -1;
        private long lastActNanos;

        RandomRun(int seed) {
            random = new Random(seed);
            for (int i = 0; i < 3; i++) {
                leases.add(new OwnershipLease("p" + i, LEASE_NANOS));
            }
        }

        void run() {
            for (long now = 0; now < 60_000; now += 50) {
                for (int i = 0; i < 3; i++) {
                    if (random.nextInt(200) == 0) {
                        unreachableUntil[i] = now + random.nextInt(8_000);
                    }
                    runProcess(i, leases.get(i), now);
                }
            }
        }

        private void runProcess(int index, OwnershipLease lease, long now) {
            lease.onTimer(now);
            if (now >= unreachableUntil[index]) {
                accessRegister(index, lease, now);
            }
            if (lease.mayAct(now)) {
                assertThat(lastActor == index || lastActor < 0 || now - lastActNanos >= LEASE_NANOS)
                        .isTrue();
                lastActor = index;
                lastActNanos = now;
            }
        }

        private void accessRegister(int index, OwnershipLease lease, long now) {
            if (lease.state() == LeaseState.LOST) {
                lease.release();
            }
            lease.onRegisterRead(owner, token, now - 20);
            if (lease.state() == LeaseState.UNCLAIMED && random.nextInt(40) == 0 && lease.beginClaim()) {
                String previousOwner = owner;
                owner = "p" + index;
                lease.onClaimAccepted(++token, Optional.ofNullable(previousOwner), now - 40, now);
            }
        }
    }
}
