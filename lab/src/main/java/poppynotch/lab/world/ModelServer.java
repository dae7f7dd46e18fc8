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
 * One nodo: its cores are shared evenly by the requests at work, as far as each can use one; a
 * request keeps its slot while it waits for the next tier; those without a slot wait, and beyond
 * the waiting room they are turned away. A model, not a measurement of a real machine.
 */
public final class ModelServer {

    /** While a nodo is cold its rate changes all the time; it is worked out anew so often. */
    private static final double COLD_STEP_MS = 100;

    /**
     * Of a budget of N requests, a cold nodo bears twice the root of N and this many more: chance
     * brings them together.
     */
    private static final double TIP_SLACK = 2;

    /** A quick error takes so much work. */
    private static final double ERROR_WORK_MS = 1;

    /** Where an attempt's end goes. */
    public interface Reply {
        /** The end, with the call's body set where it was served. */
        void ended(End end);
    }

    /** The attempt of a call at this nodo. */
    public final class Job {
        final Call call;
        final int attempt;
        final Reply reply;

        /** When the sidecar stops waiting, as it told. */
        final double until;

        /** Core milliseconds, before the calls to the next tier and after them. */
        final double partMs;

        int callsLeft;
        int callsMade;
        boolean afterCalls;
        boolean running;
        boolean ended;
        boolean began;

        /** The level of service at which it is done. */
        double finishAt;

        double startedAtLevel;
        double usefulMs;
        Call child;

        Job(Call call, int attempt, double until, double partMs, int callsLeft, Reply reply) {
            this.call = call;
            this.attempt = attempt;
            this.until = until;
            this.partMs = partMs;
            this.callsLeft = callsLeft;
            this.reply = reply;
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

    private final SimulatedDay scene;
    private final Tier spec;
    private final SplittableRandom random;
    private final int slots;
    private final int room;
    private final double coldShare;
    private final double coldMs;
    private final double reportPeriodMs;

    /** When its process last started, 0 for long ago. */
    double startedMs;

    private boolean up;
    private boolean draining;
    private boolean fallen;
    SidecarPort sidecar;

    // Troubles, set by the director.
    double errorShare;
    double slowness = 1;
    double resetShare;
    double garbledShare;
    boolean hangs;

    /** How much later than it should a load report comes. */
    double reportsLateMs;

    private final Set<Job> held = new LinkedHashSet<>();
    private final PriorityQueue<Job> running =
            new PriorityQueue<>(
                    (a, b) -> {
                        int order = Double.compare(a.finishAt, b.finishAt);
                        return order != 0 ? order : a.call.id.compareTo(b.call.id);
                    });
    private final Deque<Job> waiting = new ArrayDeque<>();

    /** Those that go on though the sidecar waits no longer. */
    private final Set<Job> abandoned = new LinkedHashSet<>();

    /** Service that each running job has got since the process started, in core milliseconds. */
    private double level;

    private double levelAt;
    private Time.Alarm next;
    private int connections;

    /**
     * Work that a cold nodo was sent of late, and how much of it by sidecars that knew of its
     * start.
     */
    private record Pushed(double at, double workMs, boolean informed) {}

    private final Deque<Pushed> pushed = new ArrayDeque<>();
    private double pushedMs;

    // A jam: since when there was too much to do, or little enough again.
    private boolean jammed;
    private double jammedAt;
    private double overSince = -1;
    private double underSince = -1;

    private double busyMs;
    private double reportedBusyMs;
    private long servedCount;
    private long reportedServed;
    private double reportedAt;
    private final Deque<double[]> reports = new ArrayDeque<>();

    ModelServer(
            SimulatedDay scene, String id, int tier, int zone, int cell, SplittableRandom random) {
        this.scene = scene;
        this.id = id;
        this.tier = tier;
        this.zone = zone;
        this.cell = cell;
        this.random = random;
        spec = scene.experiment().world().tiers().get(tier);
        speed = spec.speed().draw(random);
        slots = (int) Math.round(spec.slots().draw(random));
        room = (int) Math.round(spec.queue().draw(random));
        coldShare = spec.coldShare().draw(random);
        coldMs = spec.coldMs().draw(random);
        reportPeriodMs = spec.reportPeriodMs().draw(random);
    }

    /** Its size, as discovery registers it. */
    public double weight() {
        return spec.cores() * speed;
    }

    /** Whether connections come up. */
    public boolean isUp() {
        return up && !fallen;
    }

    /**
     * Its process: connections to an earlier one are broken; NaN, unequal to all, while there is
     * none.
     */
    public double process() {
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

    /** One more connection, or one less; false where the nodo takes no more. */
    public boolean connect(int more) {
        if (more > 0 && connections >= spec.connections()) {
            return false;
        }
        connections = Math.max(0, connections + more);
        return true;
    }

    /** The work that a new connection costs. */
    public void handshake() {
        double work = scene.experiment().world().network().handshakeWorkMs();
        if (isUp() && work > 0) {
            advance();
            busyMs += work;
            scene.facts().worked(scene.now(), this, work);
            // The cores are away from the requests at work for as long.
            level =
                    Math.max(
                            0,
                            level
                                    - (running.isEmpty()
                                            ? 0
                                            : work / Math.max(spec.cores(), running.size())));
            reschedule();
        }
    }

    void start(double startedAt) {
        up = true;
        draining = false;
        fallen = false;
        startedMs = startedAt;
        level = 0;
        levelAt = scene.now();
        connections = 0;
        pushed.clear();
        pushedMs = 0;
        jammed = false;
        overSince = -1;
        underSince = -1;
    }

    void drain() {
        draining = true;
    }

    /** The process is gone: its connections break, and nobody learns of what it had in work. */
    void stop() {
        up = false;
        for (Job job : List.copyOf(held)) {
            end(job, End.RESET);
        }
        if (next != null) {
            next.cancel();
            next = null;
        }
        connections = 0;
    }

    /** The share of its whole capacity that it has by its age. */
    public double warmth() {
        if (startedMs <= 0 || coldMs <= 0) {
            return 1;
        }
        return Math.min(
                1, coldShare + (1 - coldShare) * Math.max(0, scene.now() - startedMs) / coldMs);
    }

    /** Core milliseconds a millisecond that it can do at present, before crowding. */
    private double capacity() {
        return spec.cores() * speed * warmth() / slowness;
    }

    /** A request has come whole; the end is told once. */
    public Job submit(Call call, double until, boolean informed, Reply reply) {
        double now = scene.now();
        int attempt = call.attempts++;
        SplittableRandom drawn = new SplittableRandom(call.seed);
        // Lognormal with the class's mean and spread, and the same for every attempt of the call.
        double spread = scene.experiment().world().classes().get(call.first.kind).spread();
        double variance = Math.log1p(spread * spread);
        double workMs =
                call.first.workMs
                        * spec.work()
                        * Math.exp(Math.sqrt(variance) * drawn.nextGaussian() - variance / 2);
        int calls = tier + 1 < scene.tiers() ? scene.calls(tier + 1, drawn) : 0;
        Job job = new Job(call, attempt, until, calls == 0 ? workMs : workMs / 2, calls, reply);
        scene.facts().arrived(now, call, this, attempt);
        push(now, workMs, informed);
        held.add(job);
        if (!isUp()) {
            end(job, End.RESET);
        } else if (resetShare > 0 && random.nextDouble() < resetShare) {
            job.began = random.nextBoolean();
            end(job, End.RESET);
        } else if (random.nextDouble() < errorShare + spec.errors()) {
            job.began = true;
            busyMs += ERROR_WORK_MS;
            scene.facts().worked(now, this, ERROR_WORK_MS);
            scene.time().after(ERROR_WORK_MS / speed, () -> end(job, End.ERROR));
        } else if (held.size() - waiting.size() > slots) {
            if (waiting.size() >= room) {
                end(job, End.TURNED_AWAY);
            } else {
                waiting.add(job);
                watchJam();
            }
        } else {
            begin(job);
        }
        return job;
    }

    private void begin(Job job) {
        job.began = true;
        if (job.call.key != null && scene.isRepeat(this, job.call)) {
            // The cell knows the key: its answer is there already.
            finish(job);
            return;
        }
        run(job);
    }

    private void run(Job job) {
        advance();
        job.running = true;
        job.startedAtLevel = level;
        job.finishAt = level + job.partMs;
        running.add(job);
        watchJam();
        reschedule();
    }

    /** Brings the level of service up to now. */
    private void advance() {
        double now = scene.now();
        double passed = now - levelAt;
        levelAt = now;
        if (passed > 0 && !running.isEmpty() && !hangs) {
            double each = rate() * passed;
            level += each;
            double work = each * running.size();
            busyMs += work;
            scene.facts().worked(now, this, work);
        }
    }

    /** Core milliseconds a millisecond that each running request gets. */
    private double rate() {
        int n = running.size();
        double warm = warmth();
        double each = Math.min(1, (double) spec.cores() / n) * speed * warm / slowness;
        if (spec.crowdedAt() > 0) {
            double over = (double) held.size() / spec.cores() / spec.crowdedAt() - 1;
            each /= 1 + spec.crowding() * Math.max(0, over);
        }
        return jammed ? each / spec.jam().factor() : each;
    }

    private void reschedule() {
        if (next != null) {
            next.cancel();
            next = null;
        }
        if (running.isEmpty() || hangs || !up) {
            return;
        }
        double wait = Math.max(0, (running.peek().finishAt - level) / rate());
        if (warmth() < 1) {
            wait = Math.min(wait, COLD_STEP_MS);
        }
        next = scene.time().after(wait, this::step);
    }

    private void step() {
        next = null;
        advance();
        // What rounding leaves must not keep a job that is done.
        while (!running.isEmpty() && running.peek().finishAt <= level + 1e-6) {
            Job job = running.poll();
            job.running = false;
            job.usefulMs += job.partMs;
            if (job.callsLeft > 0 && !job.afterCalls) {
                callNext(job);
            } else {
                finish(job);
            }
        }
        reschedule();
    }

    private void callNext(Job job) {
        if (job.ended) {
            return;
        }
        if (job.callsLeft == 0) {
            job.afterCalls = true;
            run(job);
            return;
        }
        if (scene.now() >= job.until) {
            // Nobody waits for it any more, so it asks nobody further.
            end(job, End.ERROR);
            return;
        }
        job.callsLeft--;
        job.callsMade++;
        Call child = scene.childOf(job.call, zone, tier + 1, job.until, job.attempt, job.callsMade);
        job.child = child;
        scene.send(
                sidecar,
                child,
                answer -> {
                    if (job.ended || job.child != child) {
                        return;
                    }
                    job.child = null;
                    if (answer.kind() == Answer.Kind.SERVED) {
                        job.usefulMs += child.servedWork;
                        callNext(job);
                    } else {
                        end(job, End.ERROR);
                    }
                });
    }

    private void finish(Job job) {
        if (hangs) {
            return;
        }
        servedCount++;
        job.call.servedWork = job.usefulMs;
        job.call.body = id + " " + job.call.id;
        end(job, garbledShare > 0 && random.nextDouble() < garbledShare ? End.GARBLED : End.SERVED);
    }

    /**
     * The sidecar waits no longer: what waits is dropped, what runs goes on where cancels do not
     * stop it.
     */
    public void cancel(Job job) {
        if (job.ended) {
            return;
        }
        boolean queued = waiting.contains(job);
        if (queued && spec.cancel() != Cancel.NOTHING
                || spec.cancel() == Cancel.ALL
                || !job.began) {
            end(job, End.LEFT);
        } else if (abandoned.add(job)) {
            // It goes on, for nobody: the sidecar's part in it ends here.
            scene.facts().ended(scene.now(), job.call, this, job.attempt, End.LEFT, true);
        }
    }

    /** The sidecar waits no longer, but word of it does not reach the nodo, which goes on. */
    public void lose(Job job) {
        if (!job.ended && abandoned.add(job)) {
            scene.facts().ended(scene.now(), job.call, this, job.attempt, End.LEFT, job.began);
        }
    }

    private void end(Job job, End end) {
        if (job.ended) {
            return;
        }
        advance();
        job.ended = true;
        held.remove(job);
        waiting.remove(job);
        if (job.running) {
            running.remove(job);
            job.running = false;
        }
        if (job.child != null) {
            Call child = job.child;
            job.child = null;
            scene.abandon(sidecar, child);
        }
        boolean told = abandoned.remove(job);
        if (!told) {
            scene.facts().ended(scene.now(), job.call, this, job.attempt, end, job.began);
            job.reply.ended(end);
        }
        while (up && !waiting.isEmpty() && held.size() - waiting.size() < slots) {
            Job waiter = waiting.poll();
            if (scene.now() >= waiter.until) {
                end(waiter, End.TURNED_AWAY);
            } else {
                begin(waiter);
            }
        }
        watchJam();
        reschedule();
    }

    /** What a trouble has changed about its speed counts from now on. */
    void changed(Runnable change) {
        advance();
        change.run();
        reschedule();
    }

    /** A cold nodo that is sent too much for too long falls over and stays down. */
    private void push(double now, double workMs, boolean informed) {
        if (warmth() >= 1 || !isUp()) {
            pushed.clear();
            pushedMs = 0;
            return;
        }
        double window = scene.experiment().world().rules().fallMs();
        pushed.add(new Pushed(now, workMs, informed));
        pushedMs += workMs;
        while (!pushed.isEmpty() && pushed.peek().at() <= now - window) {
            pushedMs -= pushed.poll().workMs();
        }
        double budget = scene.experiment().world().rules().tipMultiple() * capacity() * window;
        double usualMs = pushedMs / pushed.size();
        if (pushedMs > budget + usualMs * (TIP_SLACK + 2 * Math.sqrt(budget / usualMs))) {
            double known =
                    pushed.stream().filter(Pushed::informed).mapToDouble(Pushed::workMs).sum();
            fallen = true;
            scene.fell(this, known / pushedMs);
            for (Job job : new ArrayList<>(held)) {
                end(job, End.RESET);
            }
        }
    }

    private void watchJam() {
        Jam jam = spec.jam();
        if (jam == null || !up) {
            return;
        }
        double now = scene.now();
        double each = (double) held.size() / spec.cores();
        if (jammed) {
            // What has been quiet long enough by now counts, whatever has just come.
            if (underSince >= 0 && now - underSince >= jam.restMs()
                    || now - jammedAt >= jam.mostMs()) {
                advance();
                jammed = false;
                overSince = -1;
            } else {
                underSince = each < jam.below() ? (underSince < 0 ? now : underSince) : -1;
            }
            return;
        }
        overSince = each > jam.at() ? (overSince < 0 ? now : overSince) : -1;
        if (overSince >= 0 && now - overSince >= jam.afterMs()) {
            jammed = true;
            jammedAt = now;
            underSince = -1;
        }
    }

    /** Its load report as answers carry it: how busy its cores were, and requests a second. */
    public double[] report() {
        double now = scene.now();
        if (now - reportedAt >= reportPeriodMs) {
            double passed = now - reportedAt;
            reports.add(
                    new double[] {
                        now,
                        Math.min(1, (busyMs - reportedBusyMs) / (passed * spec.cores() * speed)),
                        (servedCount - reportedServed) * 1000 / passed
                    });
            reportedAt = now;
            reportedBusyMs = busyMs;
            reportedServed = servedCount;
        }
        while (reports.size() > 1 && secondAt() <= now - reportsLateMs) {
            reports.poll();
        }
        double[] last = reports.peek();
        return last == null || last[0] > now - reportsLateMs
                ? null
                : new double[] {last[1], last[2]};
    }

    private double secondAt() {
        var each = reports.iterator();
        each.next();
        return each.next()[0];
    }
}
