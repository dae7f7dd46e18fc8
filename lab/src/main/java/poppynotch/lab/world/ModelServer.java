package poppynotch.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import poppynotch.lab.experiment.Experiment.Cancel;
import poppynotch.lab.experiment.Experiment.Rules;
import poppynotch.lab.experiment.Experiment.Tier;
import poppynotch.lab.world.WorldListener.End;

/**
 * A simulated model server. Its cores are shared evenly by the running requests, each of which can
 * use one core at most; a request keeps its slot while it waits for the next tier; requests without
 * a slot are queued, and rejected when the queue is full. A model, not a measurement of a real
 * machine.
 *
 * <p>Created and owned by {@link SimulatedDay}; all of it runs on the day's thread.
 */
public final class ModelServer {

    /** While a server warms up its rate changes continuously; it is recomputed at this interval. */
    private static final double WARM_UP_STEP_MS = 100;

    /** Core milliseconds that an error of the server costs. */
    private static final double ERROR_WORK_MS = 1;

    /** Notified of the end of an attempt. */
    public interface CompletionListener {
        /** The attempt has ended; the call's body is set if it was served. */
        void onCompleted(End end);
    }

    /** The attempt of a call at this model server. */
    public static final class Job {
        final Call call;
        final int attempt;
        final CompletionListener completionListener;

        /** When the sidecar stops waiting. */
        final double deadlineMs;

        /** Core milliseconds of each phase: before the calls to the next tier, and after them. */
        final double phaseWorkMs;

        int remainingCalls;
        int callsMade;
        boolean inFinalPhase;
        boolean running;
        boolean ended;
        boolean started;

        /** The service level at which the current phase is complete. */
        double finishLevel;

        double startedAtLevel;
        double usefulWorkMs;
        Call pendingCall;

        Job(
                Call call,
                int attempt,
                double deadlineMs,
                double phaseWorkMs,
                int remainingCalls,
                CompletionListener completionListener) {
            this.call = call;
            this.attempt = attempt;
            this.deadlineMs = deadlineMs;
            this.phaseWorkMs = phaseWorkMs;
            this.remainingCalls = remainingCalls;
            this.completionListener = completionListener;
        }
    }

    /** Its id, the same at every sidecar. */
    public final String id;

    /** The number of its tier. */
    public final int tier;

    /** The number of its zone. */
    public final int zone;

    /** The number of its cell, within which duplicates are dropped. */
    public final int cell;

    /** How fast each of its cores is. */
    public final double speed;

    private final SimulatedDay day;
    private final Tier tierSettings;
    private final SplittableRandom random;
    private final int slots;
    private final int maxQueueLength;
    private final double initialCapacityFraction;
    private final double warmUpMs;

    /** When its process last started, 0 for long ago. */
    double startedMs;

    private boolean up;
    private boolean draining;
    private boolean collapsed;
    SidecarPort sidecar;

    // Injected faults, set by FaultDirector.
    double errorFraction;
    double slowdownFactor = 1;
    double resetFraction;
    double garbledFraction;
    boolean hangs;

    /** How late load reports are published. */
    double reportDelayMs;

    private final Set<Job> inFlight = new LinkedHashSet<>();
    private final PriorityQueue<Job> running =
            new PriorityQueue<>(
                    (a, b) -> {
                        int order = Double.compare(a.finishLevel, b.finishLevel);
                        return order != 0 ? order : a.call.id.compareTo(b.call.id);
                    });
    private final Deque<Job> queue = new ArrayDeque<>();

    /** Requests that still run though their sidecar no longer waits for them. */
    private final Set<Job> abandoned = new LinkedHashSet<>();

    /** Core milliseconds that each running job has received since the process started. */
    private double serviceLevelMs;

    private double levelUpdatedAtMs;
    private SimulationClock.Timer nextStep;
    private int connections;

    private final WarmUpLoad warmUpLoad;

    /** Null where the tier's servers never jam. */
    private final JamState jam;

    private double busyMs;
    private long servedCount;
    private final LoadReports loadReports;

    ModelServer(
            SimulatedDay day, String id, int tier, int zone, int cell, SplittableRandom random) {
        this.day = day;
        this.id = id;
        this.tier = tier;
        this.zone = zone;
        this.cell = cell;
        this.random = random;
        tierSettings = day.experiment().world().tiers().get(tier);
        speed = tierSettings.speed().draw(random);
        slots = (int) Math.round(tierSettings.slots().draw(random));
        maxQueueLength = (int) Math.round(tierSettings.queueLength().draw(random));
        initialCapacityFraction = tierSettings.initialCapacityFraction().draw(random);
        warmUpMs = tierSettings.warmUpMs().draw(random);
        double reportPeriodMs = tierSettings.reportPeriodMs().draw(random);
        loadReports = new LoadReports(reportPeriodMs, tierSettings.cores(), speed);
        Rules rules = day.experiment().world().rules();
        warmUpLoad = new WarmUpLoad(rules.overloadWindowMs(), rules.overloadMultiple());
        jam = tierSettings.jam() == null ? null : new JamState(tierSettings.jam());
    }

    /** Its size, as discovery registers it. */
    public double weight() {
        return tierSettings.cores() * speed;
    }

    /** Whether connections come up. */
    public boolean isUp() {
        return up && !collapsed;
    }

    /**
     * Its process: connections to an earlier one are broken; NaN, unequal to all, while there is
     * none.
     */
    public double incarnation() {
        return isUp() ? startedMs : Double.NaN;
    }

    /** Whether it drains: it still serves requests of sidecars that were not notified yet. */
    boolean isDraining() {
        return draining;
    }

    /** Whether the process runs, though it may have collapsed. */
    boolean isRunning() {
        return up;
    }

    /** Adds to, or subtracts from, the open connections; false if there may be no more. */
    public boolean adjustConnectionCount(int change) {
        if (change > 0 && connections >= tierSettings.maxConnections()) {
            return false;
        }
        connections = Math.max(0, connections + change);
        return true;
    }

    /** Spends the work that a new connection costs. */
    public void onHandshake() {
        double work = day.experiment().world().network().handshakeWorkMs();
        if (isUp() && work > 0) {
            advance();
            busyMs += work;
            day.listener().onWorkDone(day.now(), this, work);
            // The cores are away from the requests at work for as long.
            if (!running.isEmpty()) {
                double lostMs = work / Math.max(tierSettings.cores(), running.size());
                serviceLevelMs = Math.max(0, serviceLevelMs - lostMs);
            }
            reschedule();
        }
    }

    void start(double startedAt) {
        up = true;
        draining = false;
        collapsed = false;
        startedMs = startedAt;
        serviceLevelMs = 0;
        levelUpdatedAtMs = day.now();
        connections = 0;
        warmUpLoad.clear();
        if (jam != null) {
            jam.reset();
        }
    }

    void drain() {
        draining = true;
    }

    /** Ends the process: its connections break, and requests in flight end with a reset. */
    void stop() {
        up = false;
        for (Job job : List.copyOf(inFlight)) {
            complete(job, End.RESET);
        }
        if (nextStep != null) {
            nextStep.cancel();
            nextStep = null;
        }
        connections = 0;
    }

    /** The fraction of its full capacity that the process has at its age, up to 1. */
    public double warmUpFraction() {
        if (startedMs <= 0 || warmUpMs <= 0) {
            return 1;
        }
        return Math.min(
                1,
                initialCapacityFraction
                        + (1 - initialCapacityFraction)
                                * Math.max(0, day.now() - startedMs)
                                / warmUpMs);
    }

    /** Core milliseconds a millisecond that it can do at present, before crowding. */
    private double capacity() {
        return tierSettings.cores() * speed * warmUpFraction() / slowdownFactor;
    }

    /**
     * A request has arrived completely. The listener is called once, when the attempt ends, unless
     * it is abandoned before.
     *
     * @param deadlineMs when the sidecar stops waiting, on the day's clock
     * @param informed whether the sidecar knows of this process
     */
    public Job submit(
            Call call, double deadlineMs, boolean informed, CompletionListener completionListener) {
        double now = day.now();
        int attempt = call.attempts++;
        SplittableRandom drawn = new SplittableRandom(call.seed);
        double workMs = drawWorkMs(call, drawn);
        int calls = tier + 1 < day.tiers() ? day.drawCallCount(tier + 1, drawn) : 0;
        double phaseWorkMs = calls == 0 ? workMs : workMs / 2;
        Job job = new Job(call, attempt, deadlineMs, phaseWorkMs, calls, completionListener);
        day.listener().onAttemptArrived(now, call, this, attempt);
        trackWarmUpLoad(now, workMs, informed);
        inFlight.add(job);
        admit(job);
        return job;
    }

    /**
     * Lognormal with the class's mean and spread; a call's random numbers depend on its seed alone,
     * so that every attempt of it draws the same.
     */
    private double drawWorkMs(Call call, SplittableRandom drawn) {
        double spread =
                day.experiment().world().classes().get(call.clientRequest.classIndex).spread();
        double variance = Math.log1p(spread * spread);
        return call.clientRequest.workMs
                * tierSettings.workFraction()
                * Math.exp(Math.sqrt(variance) * drawn.nextGaussian() - variance / 2);
    }

    /** Begins, queues or rejects a request, or spoils it as the injected faults want. */
    private void admit(Job job) {
        if (!isUp()) {
            complete(job, End.RESET);
        } else if (resetFraction > 0 && random.nextDouble() < resetFraction) {
            job.started = random.nextBoolean();
            complete(job, End.RESET);
        } else if (random.nextDouble() < errorFraction + tierSettings.errorFraction()) {
            job.started = true;
            busyMs += ERROR_WORK_MS;
            day.listener().onWorkDone(day.now(), this, ERROR_WORK_MS);
            day.time().schedule(ERROR_WORK_MS / speed, () -> complete(job, End.ERROR));
        } else if (inFlight.size() - queue.size() <= slots) {
            begin(job);
        } else if (queue.size() >= maxQueueLength) {
            complete(job, End.TURNED_AWAY);
        } else {
            queue.add(job);
            updateJamState();
        }
    }

    private void begin(Job job) {
        job.started = true;
        if (job.call.idempotencyKey != null && day.recordAndCheckDuplicate(this, job.call)) {
            // The cell knows the key: its answer is there already.
            finish(job);
            return;
        }
        run(job);
    }

    private void run(Job job) {
        advance();
        job.running = true;
        job.startedAtLevel = serviceLevelMs;
        job.finishLevel = serviceLevelMs + job.phaseWorkMs;
        running.add(job);
        updateJamState();
        reschedule();
    }

    /** Brings the level of service up to now. */
    private void advance() {
        double now = day.now();
        double passed = now - levelUpdatedAtMs;
        levelUpdatedAtMs = now;
        if (passed > 0 && !running.isEmpty() && !hangs) {
            double each = workRatePerRequest() * passed;
            serviceLevelMs += each;
            double work = each * running.size();
            busyMs += work;
            day.listener().onWorkDone(now, this, work);
        }
    }

    /** Core milliseconds a millisecond that each running request gets. */
    private double workRatePerRequest() {
        int n = running.size();
        double warm = warmUpFraction();
        double each =
                Math.min(1, (double) tierSettings.cores() / n) * speed * warm / slowdownFactor;
        if (tierSettings.crowdedAt() > 0) {
            double over =
                    (double) inFlight.size() / tierSettings.cores() / tierSettings.crowdedAt() - 1;
            each /= 1 + tierSettings.crowding() * Math.max(0, over);
        }
        return jam != null && jam.isJammed() ? each / tierSettings.jam().factor() : each;
    }

    private void reschedule() {
        if (nextStep != null) {
            nextStep.cancel();
            nextStep = null;
        }
        if (running.isEmpty() || hangs || !up) {
            return;
        }
        double wait =
                Math.max(0, (running.peek().finishLevel - serviceLevelMs) / workRatePerRequest());
        if (warmUpFraction() < 1) {
            wait = Math.min(wait, WARM_UP_STEP_MS);
        }
        nextStep = day.time().schedule(wait, this::step);
    }

    private void step() {
        nextStep = null;
        advance();
        // What rounding leaves must not keep a job that is done.
        while (!running.isEmpty() && running.peek().finishLevel <= serviceLevelMs + 1e-6) {
            Job job = running.poll();
            job.running = false;
            job.usefulWorkMs += job.phaseWorkMs;
            if (job.remainingCalls > 0 && !job.inFinalPhase) {
                callNextTier(job);
            } else {
                finish(job);
            }
        }
        reschedule();
    }

    private void callNextTier(Job job) {
        if (job.ended) {
            return;
        }
        if (job.remainingCalls == 0) {
            job.inFinalPhase = true;
            run(job);
            return;
        }
        if (day.now() >= job.deadlineMs) {
            // Nobody waits for it any more, so it asks nobody further.
            complete(job, End.ERROR);
            return;
        }
        job.remainingCalls--;
        job.callsMade++;
        Call child =
                day.createChildCall(
                        job.call, zone, tier + 1, job.deadlineMs, job.attempt, job.callsMade);
        job.pendingCall = child;
        day.send(
                sidecar,
                child,
                answer -> {
                    if (job.ended || job.pendingCall != child) {
                        return;
                    }
                    job.pendingCall = null;
                    if (answer.kind() == Answer.Kind.SERVED) {
                        job.usefulWorkMs += child.servedWorkMs;
                        callNextTier(job);
                    } else {
                        complete(job, End.ERROR);
                    }
                });
    }

    private void finish(Job job) {
        if (hangs) {
            return;
        }
        servedCount++;
        job.call.servedWorkMs = job.usefulWorkMs;
        job.call.body = id + " " + job.call.id;
        complete(
                job,
                garbledFraction > 0 && random.nextDouble() < garbledFraction
                        ? End.GARBLED
                        : End.SERVED);
    }

    /**
     * The sidecar waits no longer: what waits is dropped, what runs goes on where cancels do not
     * stop it.
     */
    public void cancel(Job job) {
        if (job.ended) {
            return;
        }
        boolean queued = queue.contains(job);
        if ((queued && tierSettings.cancel() != Cancel.NOTHING)
                || tierSettings.cancel() == Cancel.ALL
                || !job.started) {
            complete(job, End.LEFT);
        } else if (abandoned.add(job)) {
            // It goes on, for nobody: the sidecar's part in it ends here.
            day.listener().onAttemptEnded(day.now(), job.call, this, job.attempt, End.LEFT, true);
        }
    }

    /**
     * The sidecar waits no longer, but word of it does not reach the model server, which goes on.
     */
    public void abandonUnnoticed(Job job) {
        if (!job.ended && abandoned.add(job)) {
            day.listener()
                    .onAttemptEnded(day.now(), job.call, this, job.attempt, End.LEFT, job.started);
        }
    }

    private void complete(Job job, End end) {
        if (job.ended) {
            return;
        }
        advance();
        job.ended = true;
        inFlight.remove(job);
        queue.remove(job);
        if (job.running) {
            running.remove(job);
            job.running = false;
        }
        if (job.pendingCall != null) {
            Call child = job.pendingCall;
            job.pendingCall = null;
            day.abandon(sidecar, child);
        }
        boolean wasAbandoned = abandoned.remove(job);
        if (!wasAbandoned) {
            day.listener().onAttemptEnded(day.now(), job.call, this, job.attempt, end, job.started);
            job.completionListener.onCompleted(end);
        }
        while (up && !queue.isEmpty() && inFlight.size() - queue.size() < slots) {
            Job waiter = queue.poll();
            if (day.now() >= waiter.deadlineMs) {
                complete(waiter, End.TURNED_AWAY);
            } else {
                begin(waiter);
            }
        }
        updateJamState();
        reschedule();
    }

    /** Applies a change of speed, which counts from now on. */
    void applyChange(Runnable change) {
        advance();
        change.run();
        reschedule();
    }

    /** A server that is warming up and is sent too much for too long collapses and stays down. */
    private void trackWarmUpLoad(double now, double workMs, boolean informed) {
        if (warmUpFraction() >= 1 || !isUp()) {
            warmUpLoad.clear();
            return;
        }
        OptionalDouble overload = warmUpLoad.add(now, workMs, informed, capacity());
        if (overload.isPresent()) {
            collapsed = true;
            day.onCollapsed(this, overload.getAsDouble());
            for (Job job : new ArrayList<>(inFlight)) {
                complete(job, End.RESET);
            }
        }
    }

    private void updateJamState() {
        if (jam == null || !up) {
            return;
        }
        double now = day.now();
        double requestsPerCore = (double) inFlight.size() / tierSettings.cores();
        if (!jam.isJammed()) {
            jam.trackOverload(now, requestsPerCore);
        } else if (jam.canEnd(now)) {
            // What has been quiet long enough by now counts, whatever has just come.
            advance();
            jam.end();
        } else {
            jam.trackRecovery(now, requestsPerCore);
        }
    }

    /**
     * The load report that answers carry at present: the busy fraction of the cores, and requests a
     * second; null where there is none yet.
     */
    public double[] currentLoadReport() {
        double now = day.now();
        loadReports.update(now, busyMs, servedCount);
        LoadReports.Report newest = loadReports.newestAt(now - reportDelayMs);
        return newest == null
                ? null
                : new double[] {newest.utilization(), newest.requestsPerSecond()};
    }
}
