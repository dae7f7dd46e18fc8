package poppynotch.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import poppynotch.config.DocumentCodec;
import poppynotch.control.OperatorChangeResult;

/**
 * Operators: they change the configuration, two at once at times, send again what got no clear
 * answer and at times what did, and read what is in force.
 */
final class VirtualOperator {

    private static final long ANSWER_LIMIT_MS = 1000;
    private static final long FIRST_MS = 600;
    private static final int PAUSE_MS = 500;
    private static final int STORM_PAUSE_MS = 60;
    private static final int MOST_UNDER_WAY = 8;

    /** One in so many answers is lost on its way. */
    private static final int LOST = 6;

    private final SimulatedFleet world;
    private final SplittableRandom random;
    private final List<SubmittedChange> orders = new ArrayList<>();
    private long stormUntilMs;
    private int underWay;
    private boolean stopped;
    private boolean loses = true;

    /** The version in force, as far as operators know. */
    private long current;

    VirtualOperator(SimulatedFleet world, SplittableRandom random) {
        this.world = world;
        this.random = random;
    }

    List<SubmittedChange> orders() {
        return orders;
    }

    void begin() {
        world.time().after(FIRST_MS, this::step);
    }

    /** Changes come in quick succession for some time. */
    void storm(long forMs) {
        stormUntilMs = world.time().getAsLong() + forMs;
    }

    /** No more orders of its own. */
    void stop() {
        stopped = true;
        loses = false;
    }

    /** The newest version that an operator was told to be in force before a time. */
    long newestTaken(long beforeMs) {
        return orders.stream()
                .filter(order -> order.takenMs() < beforeMs)
                .mapToLong(SubmittedChange::generation)
                .max()
                .orElse(0);
    }

    private void step() {
        if (stopped) {
            return;
        }
        boolean storm = world.time().getAsLong() < stormUntilMs;
        world.time().after(1 + random.nextInt(storm ? STORM_PAUSE_MS : PAUSE_MS), this::step);
        if (underWay >= MOST_UNDER_WAY) {
            return;
        }
        int drawn = random.nextInt(10);
        if (drawn < 2 && !orders.isEmpty()) {
            read();
        } else if (drawn < 5 && !orders.isEmpty()) {
            // Also what was answered: that answer may have been lost on its way.
            send(orders.get(random.nextInt(orders.size())));
        } else if (drawn < 6 && !orders.isEmpty()) {
            race();
        } else {
            send(next());
        }
    }

    private SubmittedChange next() {
        SubmittedChange order =
                new SubmittedChange(current + 1 + random.nextInt(3), current, "o" + orders.size());
        orders.add(order);
        return order;
    }

    /** Two operators build on the same version, at times under the same number. */
    private void race() {
        SubmittedChange one = next();
        SubmittedChange other =
                new SubmittedChange(
                        one.generation() + random.nextInt(2), one.buildsOn(), "o" + orders.size());
        orders.add(other);
        send(one);
        send(other);
    }

    private void send(SubmittedChange order) {
        underWay++;
        call(
                anyCore(),
                order,
                result -> {
                    underWay--;
                    boolean lost = loses && random.nextInt(LOST) == 0;
                    Optional<OperatorChangeResult> clear = SubmittedChange.clear(result);
                    if (clear.isPresent() && !lost) {
                        told(order, clear.get());
                    }
                });
    }

    private void told(SubmittedChange order, OperatorChangeResult result) {
        world.checker().orderEnds(order, result);
        if (result instanceof OperatorChangeResult.Taken) {
            current = Math.max(current, order.generation());
        } else if (result instanceof OperatorChangeResult.Conflict conflict) {
            current = Math.max(current, conflict.current());
        }
    }

    private void call(
            VirtualControlPlane at,
            SubmittedChange order,
            Consumer<Optional<OperatorChangeResult>> end) {
        new ExternalCall<OperatorChangeResult>(
                        world,
                        at,
                        ANSWER_LIMIT_MS,
                        VirtualOperator.class,
                        result -> result instanceof OperatorChangeResult.Taken)
                .make(answer -> at.core().change(order.order(world.fault()), answer), end);
    }

    /** Sends a new order until it gets a clear answer; {@code end} is told whether it was taken. */
    void insist(int tries, Consumer<Boolean> end) {
        SubmittedChange order = next();
        insist(order, tries, end);
    }

    private void insist(SubmittedChange order, int tries, Consumer<Boolean> end) {
        call(
                anyCore(),
                order,
                result -> {
                    Optional<OperatorChangeResult> clear = SubmittedChange.clear(result);
                    clear.ifPresent(answer -> told(order, answer));
                    if (clear.isPresent() && order.isTaken()) {
                        end.accept(true);
                    } else if (tries == 0) {
                        end.accept(false);
                    } else {
                        SubmittedChange again = clear.isPresent() ? next() : order;
                        world.time().after(100, () -> insist(again, tries - 1, end));
                    }
                });
    }

    private void read() {
        long sentMs = world.time().getAsLong();
        VirtualControlPlane at = anyCore();
        new ExternalCall<Optional<byte[]>>(
                        world, at, ANSWER_LIMIT_MS, VirtualOperator.class, answer -> false)
                .make(
                        answer -> {
                            if (world.fault() == SeededDefect.READ_FROM_MEMORY) {
                                answer.accept(
                                        at.core()
                                                .known()
                                                .filter(known -> known.value().generation() > 0)
                                                .map(
                                                        known ->
                                                                DocumentCodec.decode(
                                                                        known.value().document())));
                            } else {
                                at.core().readConfig(answer::accept);
                            }
                        },
                        answer ->
                                answer.flatMap(json -> json)
                                        .ifPresent(
                                                json -> world.checker().configRead(sentMs, json)));
    }

    private VirtualControlPlane anyCore() {
        List<VirtualControlPlane> cores = world.cores();
        return cores.get(random.nextInt(cores.size()));
    }
}
