package poppynotch.balancer;

/**
 * Cancels attempts at an unreachable server that has not responded since they were sent, so that
 * their calls go elsewhere.
 */
final class StalledAttemptCanceller {

    private final CurrentSettings settings;
    private final BalancerActions host;
    private final CallTable calls;

    StalledAttemptCanceller(CurrentSettings settings, BalancerActions host, CallTable calls) {
        this.settings = settings;
        this.host = host;
        this.calls = calls;
    }

    /** Cancels the stalled attempts at a server, if the settings permit it. */
    void cancelAttemptsAt(double nowMs, TrackedServer server) {
        if (!settings.get().limits().mayCancel()) {
            return;
        }
        for (CallRecord call : calls.all()) {
            if (isStalled(nowMs, call, server)) {
                host.cancel(call.request.id(), call.attempts.size() - 1);
            }
        }
    }

    private static boolean isStalled(double nowMs, CallRecord call, TrackedServer server) {
        if (call.attemptsInFlight == 0 || call.concluded) {
            return false;
        }
        Attempt last = call.attempts.get(call.attempts.size() - 1);
        return last.slot.server == server
                && server.lastSuccessAtMs < last.sentAtMs
                && call.requestClass.idempotency() != Idempotency.ONCE
                && nowMs - last.sentAtMs >= call.latency.typicalMs();
    }
}
