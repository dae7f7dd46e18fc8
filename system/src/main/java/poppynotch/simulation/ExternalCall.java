package poppynotch.simulation;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A call of an operator or server at a control-plane replica. It completes once: with the answer,
 * or without one at the time-out. An object makes one call.
 *
 * @param <T> the answer
 */
final class ExternalCall<T> {

    private static final long ONE_WAY_DELAY_MS = 2;

    private final SimulatedFleet fleet;
    private final VirtualControlPlane replica;
    private final long timeoutMs;
    private final Class<?> caller;
    private final Predicate<T> isAcknowledgement;
    private boolean completed;

    /**
     * Creates a call; {@link #start} makes it.
     *
     * @param caller its class decides which armed fault an acknowledgement triggers
     * @param isAcknowledgement whether an answer counts as acknowledgement
     */
    ExternalCall(
            SimulatedFleet fleet,
            VirtualControlPlane replica,
            long timeoutMs,
            Class<?> caller,
            Predicate<T> isAcknowledgement) {
        this.fleet = fleet;
        this.replica = replica;
        this.timeoutMs = timeoutMs;
        this.caller = caller;
        this.isAcknowledgement = isAcknowledgement;
    }

    /**
     * Makes the call.
     *
     * @param request runs in the replica's process; its argument takes the answer
     * @param onComplete called once; with empty if no answer came in time
     */
    void start(Consumer<Consumer<T>> request, Consumer<Optional<T>> onComplete) {
        fleet.time().after(timeoutMs, () -> complete(Optional.empty(), onComplete));
        fleet.time().after(ONE_WAY_DELAY_MS, () -> deliverRequest(request, onComplete));
    }

    private void deliverRequest(Consumer<Consumer<T>> request, Consumer<Optional<T>> onComplete) {
        if (!fleet.isReachableFromOutside(replica)) {
            return;
        }
        int startCount = replica.startCount();
        replica.run(() -> request.accept(answer -> onAnswer(startCount, answer, onComplete)));
    }

    private void onAnswer(int startCount, T answer, Consumer<Optional<T>> onComplete) {
        if (replica.startCount() != startCount || !fleet.isReachableFromOutside(replica)) {
            return;
        }
        if (isAcknowledgement.test(answer)) {
            fleet.onAcknowledged(caller, replica);
        }
        fleet.time().after(ONE_WAY_DELAY_MS, () -> complete(Optional.of(answer), onComplete));
    }

    private void complete(Optional<T> answer, Consumer<Optional<T>> onComplete) {
        if (!completed) {
            completed = true;
            onComplete.accept(answer);
        }
    }
}
