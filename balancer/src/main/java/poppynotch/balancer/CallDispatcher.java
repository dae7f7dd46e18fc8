package poppynotch.balancer;

/** Starts attempts: selects a slot for a call and has the host send the request. */
final class CallDispatcher {

    private final BalancerActions host;
    private final SlotSelector selector;
    private final SlotPool pool;
    private final RetryPolicy retryPolicy;
    private final ServerCostEstimator costs;
    private final InFlightCalls inFlight;

    CallDispatcher(
            BalancerActions host,
            SlotSelector selector,
            SlotPool pool,
            RetryPolicy retryPolicy,
            ServerCostEstimator costs,
            InFlightCalls inFlight) {
        this.host = host;
        this.selector = selector;
        this.pool = pool;
        this.retryPolicy = retryPolicy;
        this.costs = costs;
        this.inFlight = inFlight;
    }

    /** Sends a call on the first slot that it may use; returns false if there is none. */
    boolean tryDispatch(double nowMs, CallRecord call) {
        Slot slot = selector.select(nowMs, call);
        if (slot == null) {
            return false;
        }
        if (slot.server.spare == slot) {
            pool.adopt(nowMs, slot);
        }
        send(nowMs, call, slot);
        return true;
    }

    private void send(double nowMs, CallRecord call, Slot slot) {
        TrackedServer server = slot.server;
        double timeoutMs = retryPolicy.attemptTimeoutMs(nowMs, call);
        call.attempts.add(new Attempt(slot, nowMs, timeoutMs));
        call.attemptsInFlight++;
        slot.busy = true;
        if (server.nextCallDue) {
            server.nextCallDue = false;
            costs.updateRanks(nowMs, server);
        }
        server.inFlight++;
        inFlight.onStart();
        host.send(call.request.id(), server.id, timeoutMs);
    }
}
