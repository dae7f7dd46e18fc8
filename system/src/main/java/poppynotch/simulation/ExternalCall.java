package poppynotch.simulation;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A call of somebody outside at a core process: its answer comes once, or none within the limit.
 *
 * @param <T> the answer
 */
final class ExternalCall<T> {

    private static final long WAY_MS = 2;

    private final SimulatedFleet world;
    private final VirtualControlPlane at;
    private final long limitMs;
    private final Class<?> caller;
    private final Predicate<T> acknowledges;
    private boolean ended;

    /**
     * A call.
     *
     * @param acknowledges whether an answer is an acknowledgement
     */
    ExternalCall(
            SimulatedFleet world,
            VirtualControlPlane at,
            long limitMs,
            Class<?> caller,
            Predicate<T> acknowledges) {
        this.world = world;
        this.at = at;
        this.limitMs = limitMs;
        this.caller = caller;
        this.acknowledges = acknowledges;
    }

    /**
     * Makes the call.
     *
     * @param call run at the core process; its argument takes the answer
     * @param end told once; empty if no answer came
     */
    void make(Consumer<Consumer<T>> call, Consumer<Optional<T>> end) {
        world.time()
                .after(
                        limitMs,
                        () -> {
                            if (!ended) {
                                ended = true;
                                end.accept(Optional.empty());
                            }
                        });
        world.time()
                .after(
                        WAY_MS,
                        () -> {
                            if (!world.isReachableFromOutside(at)) {
                                return;
                            }
                            int life = at.life();
                            at.run(() -> call.accept(answer -> back(life, answer, end)));
                        });
    }

    private void back(int life, T answer, Consumer<Optional<T>> end) {
        if (at.life() != life || !world.isReachableFromOutside(at)) {
            return;
        }
        if (acknowledges.test(answer)) {
            world.acknowledged(caller, at);
        }
        world.time()
                .after(
                        WAY_MS,
                        () -> {
                            if (!ended) {
                                ended = true;
                                end.accept(Optional.of(answer));
                            }
                        });
    }
}
