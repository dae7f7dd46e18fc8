package poppynotch.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import poppynotch.lab.experiment.Experiment.Cancel;
import poppynotch.lab.experiment.Experiment.Jam;
import poppynotch.lab.experiment.Experiment.Tier;
import poppynotch.lab.world.WorldListener.End;

/**
 * One model server: its cores are shared evenly by the requests at work, as far as each can use
 * one; a request keeps its slot while it waits for the next tier; those without a slot wait, and
 * beyond the waiting room they are turned away. A model, not a measurement of a real machine.
 */
public final class ModelServer {

    /**
     * While a model server is cold its rate changes all the time; it is worked out anew so often.
     */
    private static final double WARM_UP_STEP_MS = 100;

    /**
     * Of a budget of N requests, a cold model server bears twice the root of N and this many more:
     * chance brings them together.
     */
    private static final double OVERLOAD_SLACK_REQUESTS = 2;

    /** A quick error takes so much work. */
    private static final double ERROR_WORK_MS = 1;

    /** Where an attempt's end goes. */
    public interface CompletionListener {
        /** The end, with the call's body set where it was served. */
        void onCompleted(End end);
    }

    /** The attempt of a call at this model server. */
    public final class Job {
        final Call call;
        final int attempt;
        final CompletionListener completionListener;

        /** When the sidecar stops waiting, as it told. */
        final double deadlineMs;

        /** Core milliseconds, before the calls to the next tier and after them. */
        final double phaseWorkMs;

        int remainingCalls;
        int callsMade;
        boolean inFinalPhase;
        boolean running;
        boolean ended;
        boolean started;

        /** The level of service at which it is done. */
        double finishLevel;

        double startedAtLevel;
        double usefulWorkMs;
        Call pendingCall;

        Job(
                Call call,
                int attempt,
                double until,
                double partMs,
                int callsLeft,
                CompletionListener reply) {
            this.call = call;
            this.attempt = attempt;
            this.deadlineMs = until;
            this.phaseWorkMs = partMs;
            this.remainingCalls = callsLeft;
            this.completionListener = reply;
        }
    }

    /** Its name, the same at every sidecar. */
    public final String id;

    /** Its tier, zone, kind and cell by number. */
    public final int tier;

    /** Its zone. */
    public final int zone;

    /** Its cell. */
    public final int cell;

    /** How fast each of its cores is. */
    public final double speed;

    private final SimulatedDay day;
    private final Tier tierSettings;
    private final SplittableRandom random;
    private final int slots;
    private final int maxQueueLength;
    private final double coldShare;
    private final double coldMs;
    private final double reportPeriodMs;

    /** When its process last started, 0 for long ago. */
    double startedMs;

    private boolean up;
    private boolean draining;
    private boolean collapsed;
    SidecarPort sidecar;

    // Faults, set by the director.
    double errorFraction;
    double slowdownFactor = 1;
    double resetFraction;
    double garbledFraction;
    boolean hangs;

    /** How much later than it should a load report comes. */
    double reportDelayMs;

    private final Set<Job> inFlight = new LinkedHashSet<>();
    private final PriorityQueue<Job> running =
            new PriorityQueue<>(
                    (a, b) -> {
                        int order = Double.compare(a.finishLevel, b.finishLevel);
                        return order != 0 ? order : a.call.id.compareTo(b.call.id);
                    });
    private final Deque<Job> queue = new ArrayDeque<>();

    /** Those that go on though the sidecar waits no longer. */
    private final Set<Job> abandoned = new LinkedHashSet<>();

    /** Service that each running job has got since the process started, in core milliseconds. */
    private double serviceLevelMs;

    private double levelUpdatedAtMs;
    private Time.Alarm nextStep;
    private int connections;

    /**
     * Work that a cold model server was sent of late, and how much of it by sidecars that knew of
     * its start.
     */
    private record WarmUpArrival(double at, double workMs, boolean informed) {}

    private final Deque<WarmUpArrival> warmUpArrivals = new ArrayDeque<>();
    private double warmUpWorkMs;

    // A jam: since when there was too much to do, or little enough again.
    private boolean jammed;
    private double jammedSinceMs;
    private double overloadedSinceMs = -1;
    private double recoveringSinceMs = -1;

    private double busyMs;
    private double reportedBusyMs;
    private long servedCount;
    private long reportedServed;
    private double lastReportAtMs;
    private final Deque<double[]> reports = new ArrayDeque<>();

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
        coldShare = tierSettings.coldShare().draw(random);
        coldMs = tierSettings.coldMs().draw(random);
        reportPeriodMs = tierSettings.reportPeriodMs().draw(random);
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

    /** Whether it wants nothing new: what still comes until all are told it serves all the same. */
    boolean isDraining() {
        return draining;
    }

    /** Whether the process runs, though it may have fallen over. */
    boolean isRunning() {
        return up;
    }

    /** One more connection, or one less; false where the model server takes no more. */
    public boolean connect(int more) {
        if (more > 0 && connections >= tierSettings.maxConnections()) {
            return false;
        }
        connections = Math.max(0, connections + more);
        return true;
    }

    /** The work that a new connection costs. */
    public void handshake() {
        double work = day.experiment().world().network().handshakeWorkMs();
        if (isUp() && work > 0) {
            advance();
            busyMs += work;
            day.facts().onWorkDone(day.now(), this, work);
            // The cores are away from the requests at work for as long.
            serviceLevelMs =
                    Math.max(
                            0,
                            serviceLevelMs
                                    - (running.isEmpty()
                                            ? 0
                                            : work
                                                    / Math.max(
                                                            tierSettings.cores(), running.size())));
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
        warmUpArrivals.clear();
        warmUpWorkMs = 0;
        jammed = false;
        overloadedSinceMs = -1;
        recoveringSinceMs = -1;
    }

    void drain() {
        draining = true;
    }

    /** The process is gone: its connections break, and nobody learns of what it had in work. */
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

    /** The share of its whole capacity that it has by its age. */
    public double warmUpFraction() {
        if (startedMs <= 0 || coldMs <= 0) {
            return 1;
        }
        return Math.min(
                1, coldShare + (1 - coldShare) * Math.max(0, day.now() - startedMs) / coldMs);
    }

    /** Core milliseconds a millisecond that it can do at present, before crowding. */
    private double capacity() {
        return tierSettings.cores() * speed * warmUpFraction() / slowdownFactor;
    }

    /** A request has come whole; the end is told once. */
    public Job submit(Call call, double until, boolean informed, CompletionListener reply) {
        double now = day.now();
        int attempt = call.attempts++;
        SplittableRandom drawn = new SplittableRandom(call.seed);
        // Lognormal with the class's mean and spread, and the same for every attempt of the call.
        double spread = day.experiment().world().classes().get(call.first.kind).spread();
        double variance = Math.log1p(spread * spread);
        double workMs =
                call.first.workMs
                        * tierSettings.workFraction()
                        * Math.exp(Math.sqrt(variance) * drawn.nextGaussian() - variance / 2);
        int calls = tier + 1 < day.tiers() ? day.drawCallCount(tier + 1, drawn) : 0;
        Job job = new Job(call, attempt, until, calls == 0 ? workMs : workMs / 2, calls, reply);
        day.facts().onAttemptArrived(now, call, this, attempt);
        trackWarmUpLoad(now, workMs, informed);
        inFlight.add(job);
        if (!isUp()) {
            complete(job, End.RESET);
        } else if (resetFraction > 0 && random.nextDouble() < resetFraction) {
            job.started = random.nextBoolean();
            complete(job, End.RESET);
        } else if (random.nextDouble() < errorFraction + tierSettings.errorFraction()) {
            job.started = true;
            busyMs += ERROR_WORK_MS;
            day.facts().onWorkDone(now, this, ERROR_WORK_MS);
            day.time().after(ERROR_WORK_MS / speed, () -> complete(job, End.ERROR));
        } else if (inFlight.size() - queue.size() > slots) {
            if (queue.size() >= maxQueueLength) {
                complete(job, End.TURNED_AWAY);
            } else {
                queue.add(job);
                updateJamState();
            }
        } else {
            begin(job);
        }
        return job;
    }

    private void begin(Job job) {
        job.started = true;
        if (job.call.key != null && day.recordAndCheckDuplicate(this, job.call)) {
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
            day.facts().onWorkDone(now, this, work);
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
        return jammed ? each / tierSettings.jam().factor() : each;
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
        nextStep = day.time().after(wait, this::step);
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
        if (queued && tierSettings.cancel() != Cancel.NOTHING
                || tierSettings.cancel() == Cancel.ALL
                || !job.started) {
            complete(job, End.LEFT);
        } else if (abandoned.add(job)) {
            // It goes on, for nobody: the sidecar's part in it ends here.
            day.facts().ended(day.now(), job.call, this, job.attempt, End.LEFT, true);
        }
    }

    /**
     * The sidecar waits no longer, but word of it does not reach the model server, which goes on.
     */
    public void abandonUnnoticed(Job job) {
        if (!job.ended && abandoned.add(job)) {
            day.facts().ended(day.now(), job.call, this, job.attempt, End.LEFT, job.started);
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
            day.facts().ended(day.now(), job.call, this, job.attempt, end, job.started);
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

    /** What a fault has changed about its speed counts from now on. */
    void applyChange(Runnable change) {
        advance();
        change.run();
        reschedule();
    }

    /** A cold model server that is sent too much for too long falls over and stays down. */
    private void trackWarmUpLoad(double now, double workMs, boolean informed) {
        if (warmUpFraction() >= 1 || !isUp()) {
            warmUpArrivals.clear();
            warmUpWorkMs = 0;
            return;
        }
        double window = day.experiment().world().rules().fallMs();
        warmUpArrivals.add(new WarmUpArrival(now, workMs, informed));
        warmUpWorkMs += workMs;
        while (!warmUpArrivals.isEmpty() && warmUpArrivals.peek().at() <= now - window) {
            warmUpWorkMs -= warmUpArrivals.poll().workMs();
        }
        double budget = day.experiment().world().rules().tipMultiple() * capacity() * window;
        double usualMs = warmUpWorkMs / warmUpArrivals.size();
        if (warmUpWorkMs
                > budget + usualMs * (OVERLOAD_SLACK_REQUESTS + 2 * Math.sqrt(budget / usualMs))) {
            double known =
                    warmUpArrivals.stream()
                            .filter(WarmUpArrival::informed)
                            .mapToDouble(WarmUpArrival::workMs)
                            .sum();
            collapsed = true;
            day.onCollapsed(this, known / warmUpWorkMs);
            for (Job job : new ArrayList<>(inFlight)) {
                complete(job, End.RESET);
            }
        }
    }

    private void updateJamState() {
        Jam jam = tierSettings.jam();
        if (jam == null || !up) {
            return;
        }
        double now = day.now();
        double each = (double) inFlight.size() / tierSettings.cores();
        if (jammed) {
            // What has been quiet long enough by now counts, whatever has just come.
            if (recoveringSinceMs >= 0 && now - recoveringSinceMs >= jam.recoveryMs()
                    || now - jammedSinceMs >= jam.maxMs()) {
                advance();
                jammed = false;
                overloadedSinceMs = -1;
            } else {
                recoveringSinceMs =
                        each < jam.leaveBelowPerCore()
                                ? (recoveringSinceMs < 0 ? now : recoveringSinceMs)
                                : -1;
            }
            return;
        }
        overloadedSinceMs =
                each > jam.enterAtPerCore()
                        ? (overloadedSinceMs < 0 ? now : overloadedSinceMs)
                        : -1;
        if (overloadedSinceMs >= 0 && now - overloadedSinceMs >= jam.afterMs()) {
            jammed = true;
            jammedSinceMs = now;
            recoveringSinceMs = -1;
        }
    }

    /** Its load report as answers carry it: how busy its cores were, and requests a second. */
    public double[] report() {
        double now = day.now();
        if (now - lastReportAtMs >= reportPeriodMs) {
            double passed = now - lastReportAtMs;
            reports.add(
                    new double[] {
                        now,
                        Math.min(
                                1,
                                (busyMs - reportedBusyMs)
                                        / (passed * tierSettings.cores() * speed)),
                        (servedCount - reportedServed) * 1000 / passed
                    });
            lastReportAtMs = now;
            reportedBusyMs = busyMs;
            reportedServed = servedCount;
        }
        while (reports.size() > 1 && secondReportAtMs() <= now - reportDelayMs) {
            reports.poll();
        }
        double[] last = reports.peek();
        return last == null || last[0] > now - reportDelayMs
                ? null
                : new double[] {last[1], last[2]};
    }

    private double secondReportAtMs() {
        var each = reports.iterator();
        each.next();
        return each.next()[0];
    }
}
