package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;

class RoleElectionTest {

    private static final List<String> NAMES = List.of("a", "b", "c", "d");
    private static final AcceptorSet VOTERS = AcceptorSet.of(List.of("a", "b", "c"));

    private static final class World {
        final Map<String, RoleElection> all = new HashMap<>();
        final List<Runnable> underWay = new ArrayList<>();
        final SplittableRandom random;
        final boolean[] down = new boolean[NAMES.size()];
        final boolean lossy;
        long nowMs;

        World(long seed, boolean lossy) {
            random = new SplittableRandom(seed);
            this.lossy = lossy;
            NAMES.forEach(this::start);
        }

        void start(String name) {
            RoleElection[] own = new RoleElection[1];
            own[0] =
                    new RoleElection(
                            name,
                            nowMs,
                            random.nextLong(),
                            term -> underWay.add(() -> claim(name, own[0], term)));
            all.put(name, own[0]);
            down[NAMES.indexOf(name)] = false;
        }

        private void claim(String from, RoleElection claimant, long term) {
            for (String to : NAMES) {
                boolean lost = lossy && random.nextInt(4) == 0;
                if (!to.equals(from)
                        && !isDown(from)
                        && !isDown(to)
                        && !lost
                        && all.get(to).onClaim(nowMs, from, term)) {
                    claimant.onGrant(to, term, VOTERS);
                }
            }
        }

        boolean isDown(String name) {
            return down[NAMES.indexOf(name)];
        }

        List<String> step() {
            nowMs += 50;
            List<Runnable> now = List.copyOf(underWay);
            underWay.clear();
            now.forEach(Runnable::run);
            NAMES.stream().filter(name -> !isDown(name)).forEach(name -> all.get(name).tick(nowMs));
            return NAMES.stream()
                    .filter(name -> !isDown(name) && all.get(name).isHolder(nowMs))
                    .toList();
        }
    }

    @Test
    void oneHoldsTheRoleAndAnotherTakesItUpWhenItIsVacant() {
        World world = new World(5, false);
        List<String> holders = List.of();
        while (world.nowMs < 8000) {
            holders = world.step();
        }
        assertThat(holders).hasSize(1);
        world.down[NAMES.indexOf(holders.get(0))] = true;
        String before = holders.get(0);
        while (world.nowMs < 16_000) {
            holders = world.step();
        }
        assertThat(holders).hasSize(1);
        assertThat(holders.get(0)).isNotEqualTo(before);
    }

    /** Each has granted itself: they must give that up, or none ever gets a majority. */
    @Test
    void claimsAtTheSameTimeDoNotKeepTheRoleVacant() {
        for (int seed = 1; seed <= 100; seed++) {
            World world = new World(seed, false);
            world.down[NAMES.indexOf("d")] = true;
            for (String name : NAMES) {
                RoleElection all = world.all.get(name);
                all.tick(1800);
            }
            world.nowMs = 1800;
            List<String> holders = List.of();
            while (world.nowMs < 6000 && holders.isEmpty()) {
                holders = world.step();
            }
            assertWithMessage("holders with seed " + seed).that(holders).hasSize(1);
        }
    }

    /** What is freed after a claim that failed is the own grant, never another's. */
    @Test
    void aGrantToAnotherIsNotFreedByAnOldClaim() {
        RoleElection own = new RoleElection("a", 0, 1, term -> {});
        own.tick(1900);
        assertThat(own.isHolder(1900)).isFalse();
        own.tick(2200);
        assertThat(own.onClaim(2250, "b", 5)).isTrue();
        own.tick(2600);
        assertThat(own.onClaim(2700, "c", 6)).isFalse();
    }

    @Test
    void drawnSchedulesNeverHaveTwoHolders() {
        for (int seed = 1; seed <= 200; seed++) {
            World world = new World(seed, true);
            while (world.nowMs < 30_000) {
                assertWithMessage("seed " + seed + " at " + world.nowMs)
                        .that(world.step().size())
                        .isAtMost(1);
                int at = world.random.nextInt(NAMES.size());
                if (world.random.nextInt(60) == 0) {
                    world.down[at] = true;
                } else if (world.random.nextInt(30) == 0 && world.down[at]) {
                    world.start(NAMES.get(at));
                }
            }
        }
    }
}
