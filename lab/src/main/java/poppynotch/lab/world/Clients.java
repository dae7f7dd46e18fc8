package poppynotch.lab.world;

import java.util.List;
import java.util.SplittableRandom;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.Experiment.RequestClass;
import poppynotch.lab.experiment.Experiment.Tenant;
import poppynotch.lab.experiment.FaultInjection;
import poppynotch.lab.world.Answer.Kind;

/**
 * The simulated clients, an open loop: arrivals do not wait for answers. A client retries a failed
 * request a few times after a backoff, where that is allowed.
 *
 * <p>Owned by {@link SimulatedDay}; all of it runs on the day's thread. Random numbers of a request
 * depend on its seed and attempt alone, so that they are the same under every policy.
 */
final class Clients {

    private static final double SWING_PERIOD_MS = 10_000;

    /** Seconds of a tenant's allowance that may be used in one burst. */
    private static final double ALLOWANCE_BURST_S = 1;

    /** By this the value of a request beyond its tenant's allowance is multiplied. */
    private static final double OVER_ALLOWANCE_VALUE_FACTOR = 0.05;

    /** Impatient clients retry at least up to this many times. */
    private static final int MIN_IMPATIENT_RETRIES = 8;

    /**
     * Arrivals later than this count as late: the clients' pauses are a few milliseconds at least.
     */
    private static final double LATE_THRESHOLD_MS = 5;

    private final SimulatedDay day;
    private final SplittableRandom arrivalRandom;
    private final Experiment.Clients settings;
    private final double[] cumulativeClassShares;
    private final double[] cumulativeTenantShares;
    private final double[] availableAllowance;
    private double allowanceRefilledAtMs;
    private double startedAtMs;
    private double maxRatePerSecond;
    private long arrivalCount;

    /** How late an arrival was at most; how many were late is counted below. */
    private double maxLatenessMs;

    private long lateArrivals;

    /** How long impatient clients wait for an attempt, 0 while none are impatient. */
    private double impatientTimeoutMs;

    private double impatientFraction;

    Clients(SimulatedDay day, SplittableRandom random) {
        this.day = day;
        arrivalRandom = random;
        settings = day.experiment().world().clients();
        cumulativeClassShares =
                cumulate(
                        day.experiment().world().classes().stream()
                                .mapToDouble(RequestClass::share)
                                .toArray());
        List<Tenant> tenants = day.experiment().world().tenants();
        cumulativeTenantShares =
                cumulate(
                        tenants.isEmpty()
                                ? new double[] {1}
                                : tenants.stream().mapToDouble(Tenant::share).toArray());
        availableAllowance =
                tenants.stream().mapToDouble(t -> t.allowance() * ALLOWANCE_BURST_S).toArray();
    }

    private static double[] cumulate(double[] shares) {
        for (int i = 1; i < shares.length; i++) {
            shares[i] += shares[i - 1];
        }
        return shares;
    }

    private static int pickIndex(double[] sums, double u) {
        int i = 0;
        while (i < sums.length - 1 && u * sums[sums.length - 1] >= sums[i]) {
            i++;
        }
        return i;
    }

    void start() {
        startedAtMs = day.now();
        allowanceRefilledAtMs = startedAtMs;
        maxRatePerSecond = day.experiment().rate() * (1 + settings.swing());
        for (FaultInjection fault : day.experiment().faults()) {
            if (fault.kind() == FaultInjection.Kind.BURST) {
                maxRatePerSecond *= Math.max(1, fault.factor());
            }
        }
        scheduleNextArrival(0);
    }

    /** Draws the next arrival of a varying rate, by thinning a process of the highest rate. */
    private void scheduleNextArrival(double from) {
        double at = from;
        do {
            at -= Math.log(1 - arrivalRandom.nextDouble()) * 1000 / maxRatePerSecond;
        } while (arrivalRandom.nextDouble() * maxRatePerSecond > ratePerSecond(at));
        if (at >= day.experiment().durationMs()) {
            return;
        }
        double due = at;
        day.time()
                .schedule(
                        startedAtMs + due - day.now(),
                        () -> {
                            double behind = day.now() - startedAtMs - due;
                            maxLatenessMs = Math.max(maxLatenessMs, behind);
                            lateArrivals += behind > LATE_THRESHOLD_MS ? 1 : 0;
                            onArrival();
                            scheduleNextArrival(due);
                        });
    }

    private double ratePerSecond(double at) {
        double rate =
                day.experiment().rate()
                        * (1 + settings.swing() * Math.sin(2 * Math.PI * at / SWING_PERIOD_MS));
        for (FaultInjection fault : day.experiment().faults()) {
            if (fault.kind() == FaultInjection.Kind.BURST
                    && at >= fault.atMs()
                    && at < fault.untilMs()) {
                rate *= fault.factor();
            }
        }
        return rate;
    }

    private void onArrival() {
        int kind = pickIndex(cumulativeClassShares, arrivalRandom.nextDouble());
        int tenant = pickIndex(cumulativeTenantShares, arrivalRandom.nextDouble());
        int zone = arrivalRandom.nextInt(day.experiment().world().zones().size());
        RequestClass requestClass = day.experiment().world().classes().get(kind);
        ClientRequest clientRequest =
                new ClientRequest(
                        arrivalCount++,
                        day.now(),
                        kind,
                        tenant,
                        zone,
                        requestClass.workMs().mean(),
                        arrivalRandom.nextLong(),
                        requestClass.value()
                                * (consumeAllowance(tenant) ? 1 : OVER_ALLOWANCE_VALUE_FACTOR));
        day.listener().onClientRequest(day.now(), clientRequest);
        sendAttempt(clientRequest);
    }

    private boolean consumeAllowance(int tenant) {
        double passed = (day.now() - allowanceRefilledAtMs) / 1000;
        allowanceRefilledAtMs = day.now();
        List<Tenant> tenants = day.experiment().world().tenants();
        for (int i = 0; i < availableAllowance.length; i++) {
            double maxAllowance = tenants.get(i).allowance() * ALLOWANCE_BURST_S;
            availableAllowance[i] =
                    Math.min(
                            maxAllowance,
                            availableAllowance[i] + passed * tenants.get(i).allowance());
        }
        if (availableAllowance.length == 0) {
            return true;
        }
        boolean within = availableAllowance[tenant] >= 1;
        availableAllowance[tenant] -= within ? 1 : 0;
        return within;
    }

    private void sendAttempt(ClientRequest clientRequest) {
        double now = day.now();
        RequestClass requestClass =
                day.experiment().world().classes().get(clientRequest.classIndex);
        // Drawn from the request and the attempt alone, so that they are the same under every
        // policy.
        SplittableRandom habits =
                new SplittableRandom(SimulatedDay.mix(clientRequest.seed + clientRequest.attempts));
        boolean impatient =
                impatientTimeoutMs > 0
                        && new SplittableRandom(clientRequest.seed).nextDouble()
                                < impatientFraction;
        double timeoutMs =
                impatient
                        ? impatientTimeoutMs
                        : settings.patience().draw(habits) * requestClass.deadlineMs();
        boolean resent = clientRequest.attempts++ > 0;
        int position = day.frontProxy().pick(clientRequest.zone);
        SidecarPort port = position < 0 ? null : day.frontProxy().sidecar(position);
        String key =
                requestClass.idempotency() == poppynotch.balancer.Idempotency.BY_KEY
                        ? String.format("%016x", clientRequest.seed)
                        : null;
        Call call =
                new Call(
                        day.newId(),
                        clientRequest,
                        0,
                        clientRequest.zone,
                        now,
                        Math.min(
                                now + timeoutMs,
                                clientRequest.arrivedAtMs + requestClass.deadlineMs()),
                        key,
                        resent,
                        clientRequest.seed);
        day.send(port, call, answer -> onAnswer(clientRequest, answer, impatient, habits));
    }

    private void onAnswer(
            ClientRequest clientRequest,
            Answer answer,
            boolean impatient,
            SplittableRandom habits) {
        double now = day.now();
        RequestClass requestClass =
                day.experiment().world().classes().get(clientRequest.classIndex);
        Kind kind = answer.kind();
        boolean mayRetry =
                kind == Kind.REFUSED
                        || kind == Kind.UNREACHABLE
                        || day.mayRetryAfterFailure(clientRequest.classIndex);
        double backoffMs = impatient ? 1 : settings.backoffMs().draw(habits);
        if (answer.retryAfterMs() > 0
                && habits.nextDouble() < settings.retryAfterHonourFraction()) {
            backoffMs =
                    Math.max(
                            backoffMs,
                            Math.min(
                                    answer.retryAfterMs(),
                                    day.experiment().world().rules().maxRetryAfterMs()));
        }
        int maxRetries =
                impatient
                        ? Math.max(settings.retries(), MIN_IMPATIENT_RETRIES)
                        : settings.retries();
        if (kind == Kind.SERVED
                || kind == Kind.FALSE
                || clientRequest.attempts > maxRetries
                || !mayRetry
                || now + backoffMs >= clientRequest.arrivedAtMs + requestClass.deadlineMs()) {
            day.listener().onClientRequestCompleted(now, clientRequest, kind);
        } else {
            day.time().schedule(backoffMs, () -> sendAttempt(clientRequest));
        }
    }

    void setImpatience(double waitMs, double part) {
        impatientTimeoutMs = waitMs;
        impatientFraction = part;
    }

    double[] lateness() {
        return new double[] {maxLatenessMs, lateArrivals};
    }
}
