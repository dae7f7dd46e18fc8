package poppynotch.lab.world;

import java.util.List;
import java.util.SplittableRandom;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.Experiment.RequestClass;
import poppynotch.lab.experiment.Experiment.Tenant;
import poppynotch.lab.experiment.FaultInjection;
import poppynotch.lab.world.Answer.Kind;

/**
 * The clients: their arrivals are drawn ahead and wait for nothing; each asks again a few times
 * where that is allowed, after a pause.
 */
final class Clients {

    private static final double SWING_PERIOD_MS = 10_000;

    /** Seconds of a tenant's allowance that count as within its share when they come at once. */
    private static final double SAVINGS_S = 1;

    /** What a request beyond its tenant's share is worth. */
    private static final double BEYOND_WORTH = 0.05;

    /** Those who do not wait ask so often at most. */
    private static final int IMPATIENT_TRIES = 8;

    /** A generator this late is reported: the clients' pauses are a few milliseconds at least. */
    private static final double LATE_MS = 5;

    private final SimulatedDay scene;
    private final SplittableRandom arrivals;
    private final Experiment.Clients spec;
    private final double[] classShares;
    private final double[] tenantShares;
    private final double[] allowance;
    private double toppedUp;
    private double begunAt;
    private double mostRate;
    private long count;

    /** How late the generator was at most, and how often it was by more than a tick. */
    private double latest;

    private long late;

    /** While clients are impatient: how long they wait for a try; else 0. */
    private double impatienceMs;

    private double impatientPart;

    Clients(SimulatedDay scene, SplittableRandom random) {
        this.scene = scene;
        arrivals = random;
        spec = scene.experiment().world().clients();
        classShares =
                sums(
                        scene.experiment().world().classes().stream()
                                .mapToDouble(RequestClass::share)
                                .toArray());
        List<Tenant> tenants = scene.experiment().world().tenants();
        tenantShares =
                sums(
                        tenants.isEmpty()
                                ? new double[] {1}
                                : tenants.stream().mapToDouble(Tenant::share).toArray());
        allowance = tenants.stream().mapToDouble(t -> t.allowance() * SAVINGS_S).toArray();
    }

    private static double[] sums(double[] shares) {
        for (int i = 1; i < shares.length; i++) {
            shares[i] += shares[i - 1];
        }
        return shares;
    }

    private static int pick(double[] sums, double u) {
        int i = 0;
        while (i < sums.length - 1 && u * sums[sums.length - 1] >= sums[i]) {
            i++;
        }
        return i;
    }

    void begin() {
        begunAt = scene.now();
        toppedUp = begunAt;
        mostRate = scene.experiment().rate() * (1 + spec.swing());
        for (FaultInjection trouble : scene.experiment().troubles()) {
            if (trouble.kind() == FaultInjection.Kind.BURST) {
                mostRate *= Math.max(1, trouble.factor());
            }
        }
        next(0);
    }

    /** Draws the next arrival, by thinning the highest rate of the day. */
    private void next(double from) {
        double at = from;
        do {
            at -= Math.log(1 - arrivals.nextDouble()) * 1000 / mostRate;
        } while (arrivals.nextDouble() * mostRate > rate(at));
        if (at >= scene.experiment().durationMs()) {
            return;
        }
        double due = at;
        scene.time()
                .after(
                        begunAt + due - scene.now(),
                        () -> {
                            double behind = scene.now() - begunAt - due;
                            latest = Math.max(latest, behind);
                            late += behind > LATE_MS ? 1 : 0;
                            arrive();
                            next(due);
                        });
    }

    private double rate(double at) {
        double rate =
                scene.experiment().rate()
                        * (1 + spec.swing() * Math.sin(2 * Math.PI * at / SWING_PERIOD_MS));
        for (FaultInjection trouble : scene.experiment().troubles()) {
            if (trouble.kind() == FaultInjection.Kind.BURST
                    && at >= trouble.atMs()
                    && at < trouble.untilMs()) {
                rate *= trouble.factor();
            }
        }
        return rate;
    }

    private void arrive() {
        int kind = pick(classShares, arrivals.nextDouble());
        int tenant = pick(tenantShares, arrivals.nextDouble());
        int zone = arrivals.nextInt(scene.experiment().world().zones().size());
        RequestClass asked = scene.experiment().world().classes().get(kind);
        ClientRequest first =
                new ClientRequest(
                        count++,
                        scene.now(),
                        kind,
                        tenant,
                        zone,
                        asked.workMs().mean(),
                        arrivals.nextLong(),
                        asked.worth() * (withinShare(tenant) ? 1 : BEYOND_WORTH));
        scene.facts().offered(scene.now(), first);
        ask(first);
    }

    private boolean withinShare(int tenant) {
        double passed = (scene.now() - toppedUp) / 1000;
        toppedUp = scene.now();
        List<Tenant> tenants = scene.experiment().world().tenants();
        for (int i = 0; i < allowance.length; i++) {
            double most = tenants.get(i).allowance() * SAVINGS_S;
            allowance[i] = Math.min(most, allowance[i] + passed * tenants.get(i).allowance());
        }
        if (allowance.length == 0) {
            return true;
        }
        boolean within = allowance[tenant] >= 1;
        allowance[tenant] -= within ? 1 : 0;
        return within;
    }

    private void ask(ClientRequest first) {
        double now = scene.now();
        RequestClass asked = scene.experiment().world().classes().get(first.kind);
        // Drawn from the request and the try alone, so that they are the same whatever the policy.
        SplittableRandom habits = new SplittableRandom(SimulatedDay.mix(first.seed + first.tries));
        boolean impatient =
                impatienceMs > 0 && new SplittableRandom(first.seed).nextDouble() < impatientPart;
        double wait = impatient ? impatienceMs : spec.patience().draw(habits) * asked.deadlineMs();
        boolean resent = first.tries++ > 0;
        int place = scene.front().pick(first.zone);
        SidecarPort port = place < 0 ? null : scene.front().port(place);
        String key =
                asked.effect() == poppynotch.balancer.Idempotency.BY_KEY
                        ? String.format("%016x", first.seed)
                        : null;
        Call call =
                new Call(
                        scene.newId(),
                        first,
                        0,
                        first.zone,
                        now,
                        Math.min(now + wait, first.at + asked.deadlineMs()),
                        key,
                        resent,
                        first.seed);
        scene.send(port, call, answer -> answered(first, answer, impatient, habits));
    }

    private void answered(
            ClientRequest first, Answer answer, boolean impatient, SplittableRandom habits) {
        double now = scene.now();
        RequestClass asked = scene.experiment().world().classes().get(first.kind);
        Kind kind = answer.kind();
        boolean harmless =
                kind == Kind.REFUSED || kind == Kind.UNREACHABLE || scene.mayRepeat(first.kind);
        double pause = impatient ? 1 : spec.backoffMs().draw(habits);
        if (answer.retryAfterMs() > 0 && habits.nextDouble() < spec.honour()) {
            pause =
                    Math.max(
                            pause,
                            Math.min(
                                    answer.retryAfterMs(),
                                    scene.experiment().world().rules().maxRetryAfterMs()));
        }
        int most = impatient ? Math.max(spec.retries(), IMPATIENT_TRIES) : spec.retries();
        if (kind == Kind.SERVED
                || kind == Kind.FALSE
                || first.tries > most
                || !harmless
                || now + pause >= first.at + asked.deadlineMs()) {
            scene.facts().settled(now, first, kind);
        } else {
            scene.time().after(pause, () -> ask(first));
        }
    }

    void setImpatience(double waitMs, double part) {
        impatienceMs = waitMs;
        impatientPart = part;
    }

    double[] lateness() {
        return new double[] {latest, late};
    }
}
