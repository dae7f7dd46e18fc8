package poppynotch.simulation;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * One call by an operator or a server to a control-plane replica. It completes exactly once: with
 * the answer, or without one at the timeout.
 *
 * @param <T> the type of the answer
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
     * Creates a call, which {@link #start} sends.
     *
     * @param caller the class of the caller, which selects the armed fault that an acknowledgement
     *     triggers
     * @param isAcknowledgement whether an answer counts as an acknowledgement
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
     * Sends the request.
     *
     * @param request runs in the replica's process; its argument receives the answer
     * @param onComplete called once, with empty if no answer arrived before the timeout
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
