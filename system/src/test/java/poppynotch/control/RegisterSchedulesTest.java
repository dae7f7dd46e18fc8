package poppynotch.control;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import poppynotch.register.RegisterValue;

/**
 * Drawn schedules of orders, kills, wipes, cuts and disk troubles: nothing acknowledged is lost,
 * nothing refused comes into force, and every version has one successor.
 */
class RegisterSchedulesTest {

    private static final int SCHEDULES = 400;
    private static final long STEP_MS = 60;
    private static final int STEPS = 120;

    /** A machine that is back counts as lost for this time: only then the next one may be. */
    private static final long CATCH_UP_MS = 3000;

    @Test
    void drawnSchedulesKeepThePromises() {
        for (int seed = 1; seed <= SCHEDULES; seed++) {
            play(seed);
        }
    }

    private static void play(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> names = seed % 2 == 0 ? List.of("a", "b", "c") : List.of("a", "b", "c", "d");
        RegisterWorld world = new RegisterWorld(seed, names, 3);
        world.lossShare = seed % 3 == 0 ? 0.05 : 0;
        world.runUntil(400);
        List<RegisterWorld.Order> orders = new ArrayList<>();
        String troubled = null;
        long troubleEnds = 0;
        long nextTrouble = 0;
        for (int step = 0; step < STEPS; step++) {
            world.runUntil(world.nowMs + STEP_MS);
            if (troubled == null && world.nowMs >= nextTrouble && random.nextInt(5) == 0) {
                troubled = names.get(random.nextInt(names.size()));
                trouble(world.machines.get(troubled), random);
                troubleEnds = world.nowMs + random.nextInt(2500);
            } else if (troubled != null && world.nowMs >= troubleEnds) {
                recover(world.machines.get(troubled));
                nextTrouble = world.nowMs + CATCH_UP_MS;
                troubled = null;
            }
            order(world, names, orders, random);
        }
        world.lossShare = 0;
        world.machines.values().forEach(RegisterSchedulesTest::recover);
        world.runUntil(world.nowMs + 6000);
        check(seed, world, names, orders);
    }

    private static void trouble(RegisterWorld.Machine machine, SplittableRandom random) {
        switch (random.nextInt(5)) {
            case 0 -> machine.kill();
            case 1 -> machine.wipe();
            case 2 -> machine.cut = true;
            case 3 -> machine.diskHangs = true;
            default -> machine.diskMs = 150;
        }
    }

    private static void recover(RegisterWorld.Machine machine) {
        machine.cut = false;
        machine.diskMs = 1;
        machine.diskGoesOn();
        if (!machine.up) {
            machine.start();
        }
    }

    private static void order(
            RegisterWorld world,
            List<String> names,
            List<RegisterWorld.Order> orders,
            SplittableRandom random) {
        RegisterWorld.Machine machine = world.machines.get(names.get(random.nextInt(names.size())));
        if (!machine.up || random.nextInt(3) == 0) {
            return;
        }
        if (!orders.isEmpty() && random.nextInt(3) == 0) {
            RegisterWorld.Order old = orders.get(random.nextInt(orders.size()));
            if (old.result == null || old.result instanceof OperatorChangeResult.Unclear) {
                world.resend(machine.name, old);
            }
            return;
        }
        long newest =
                orders.stream()
                        .filter(order -> order.result instanceof OperatorChangeResult.Taken)
                        .mapToLong(order -> order.generation)
                        .max()
                        .orElse(0);
        orders.add(
                world.put(
                        machine.name, newest + 1 + random.nextInt(3), newest, "o" + orders.size()));
    }

    private static void check(
            int seed, RegisterWorld world, List<String> names, List<RegisterWorld.Order> orders) {
        String schedule = "schedule " + seed;
        assertWithMessage(schedule).that(world.contradiction()).isEqualTo(Optional.empty());
        RegisterValue end =
                world.read(names.get(0)).orElseThrow(() -> new AssertionError(schedule));
        List<RegisterValue> all = new ArrayList<>(world.history);
        all.add(end);
        for (RegisterWorld.Order order : orders) {
            long times =
                    all.stream()
                            .filter(
                                    value ->
                                            value.generation() == order.generation
                                                    && content(value)
                                                            .contains("\"" + order.content + "\""))
                            .count();
            if (order.result instanceof OperatorChangeResult.Taken) {
                assertWithMessage(
                                schedule
                                        + ": "
                                        + order.content
                                        + " was acknowledged and is in force")
                        .that(times > 0 || end.generation() > order.generation)
                        .isTrue();
                assertWithMessage(schedule + ": the end is not older than " + order.generation)
                        .that(end.generation())
                        .isAtLeast(order.generation);
            } else if (order.result instanceof OperatorChangeResult.Conflict
                    || order.result instanceof OperatorChangeResult.Invalid) {
                assertWithMessage(
                                schedule
                                        + ": "
                                        + order.content
                                        + " was refused and is not in force")
                        .that(times)
                        .isEqualTo(0);
            }
        }
    }

    private static String content(RegisterValue value) {
        return value.document().length == 0
                ? ""
                : new String(
                        poppynotch.config.DocumentCodec.decode(value.document()),
                        java.nio.charset.StandardCharsets.UTF_8);
    }
}
