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
                        && all.get(to).claimed(nowMs, from, term)) {
                    claimant.granted(to, term, VOTERS);
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
