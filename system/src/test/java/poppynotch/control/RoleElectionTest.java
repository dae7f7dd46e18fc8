package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;

/** Guards against several holders of the role at a time, and a role that stays vacant. */
class RoleElectionTest {

    private static final List<String> NAMES = List.of("a", "b", "c", "d");
    private static final AcceptorSet VOTERS = AcceptorSet.of(List.of("a", "b", "c"));

    private static final class ElectionCluster {
        final Map<String, RoleElection> elections = new HashMap<>();
        final List<Runnable> claimsInFlight = new ArrayList<>();
        final SplittableRandom random;
        final Set<String> down = new HashSet<>();
        final boolean losesMessages;
        long nowMs;

        ElectionCluster(long seed, boolean lossy) {
            random = new SplittableRandom(seed);
            this.losesMessages = lossy;
            NAMES.forEach(this::start);
        }

        void start(String name) {
            RoleElection[] own = new RoleElection[1];
            own[0] =
                    new RoleElection(
                            name,
                            nowMs,
                            false,
                            random.nextLong(),
                            term -> claimsInFlight.add(() -> deliverClaim(name, own[0], term)));
            elections.put(name, own[0]);
            down.remove(name);
        }

        private void deliverClaim(String from, RoleElection claimant, long term) {
            for (String to : NAMES) {
                boolean lost = losesMessages && random.nextInt(4) == 0;
                if (!to.equals(from)
                        && !isDown(from)
                        && !isDown(to)
                        && !lost
                        && elections.get(to).onClaim(nowMs, from, term)) {
                    claimant.onGrant(to, term, VOTERS);
                }
            }
        }

        boolean isDown(String name) {
            return down.contains(name);
        }

        List<String> step() {
            nowMs += 50;
            List<Runnable> arriving = List.copyOf(claimsInFlight);
            claimsInFlight.clear();
            arriving.forEach(Runnable::run);
            NAMES.stream()
                    .filter(name -> !isDown(name))
                    .forEach(name -> elections.get(name).tick(nowMs));
            return NAMES.stream()
                    .filter(name -> !isDown(name) && elections.get(name).isHolder(nowMs))
                    .toList();
        }
    }

    @Test
    void electsAnotherHolderWhenHolderIsDown() {
        ElectionCluster cluster = new ElectionCluster(5, false);
        List<String> holders = List.of();
        while (cluster.nowMs < 8000) {
            holders = cluster.step();
        }
        assertThat(holders).hasSize(1);
        cluster.down.add(holders.get(0));
        String before = holders.get(0);
        while (cluster.nowMs < 16_000) {
            holders = cluster.step();
        }
        assertThat(holders).hasSize(1);
        assertThat(holders.get(0)).isNotEqualTo(before);
    }

    /** Each claimant grants the role to itself; unless it revokes that, none gets a majority. */
    @Test
    void electsHolderAfterSimultaneousClaims() {
        for (int seed = 1; seed <= 100; seed++) {
            ElectionCluster cluster = new ElectionCluster(seed, false);
            cluster.down.add("d");
            for (String name : NAMES) {
                RoleElection election = cluster.elections.get(name);
                election.tick(1800);
            }
            cluster.nowMs = 1800;
            List<String> holders = List.of();
            while (cluster.nowMs < 6000 && holders.isEmpty()) {
                holders = cluster.step();
            }
            assertWithMessage("holders with seed " + seed).that(holders).hasSize(1);
        }
    }

    /** A claim that times out revokes this replica's grant to itself, never one to another. */
    @Test
    void keepsGrantToAnotherWhenOwnClaimTimesOut() {
        RoleElection own = new RoleElection("a", 0, false, 1, term -> {});
        own.tick(1900);
        assertThat(own.isHolder(1900)).isFalse();
        own.tick(2200);
        assertThat(own.onClaim(2250, "b", 5)).isTrue();
        own.tick(2600);
        assertThat(own.onClaim(2700, "c", 6)).isFalse();
    }

    @Test
    void neverHasTwoHoldersUnderRandomFaults() {
        for (int seed = 1; seed <= 200; seed++) {
            ElectionCluster cluster = new ElectionCluster(seed, true);
            while (cluster.nowMs < 30_000) {
                assertWithMessage("seed " + seed + " at " + cluster.nowMs)
                        .that(cluster.step().size())
                        .isAtMost(1);
                String name = NAMES.get(cluster.random.nextInt(NAMES.size()));
                if (cluster.random.nextInt(60) == 0) {
                    cluster.down.add(name);
                } else if (cluster.random.nextInt(30) == 0 && cluster.isDown(name)) {
                    cluster.start(name);
                }
            }
        }
    }
}
