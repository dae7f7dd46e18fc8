package poppynotch.lab.fleet;

import io.microraft.executor.RaftNodeExecutor;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import poppynotch.fleet.lease.FencingGuard;
import poppynotch.fleet.lease.LeaseClient;
import poppynotch.fleet.lease.LeaseCommand;
import poppynotch.fleet.lease.LeaseSettings;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.fleet.raft.RaftEndpointId;
import poppynotch.fleet.raft.RaftReplica;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.LeaseCodec;
import poppynotch.lab.virtual.VirtualTime;

/**
 * Five keepers and some others that want one duty, with what befalls them, on the virtual clock:
 * the product's log, steward and clients, on the product's membership. Holders act on something
 * that fences; an effect may be under way for long.
 */
public final class LeaseTrial {

    private static final int RAFT_SERVERS = 5;
    private static final String ROLE = "duty";
    private static final double ADVANCE_INTERVAL_MS = 50;
    private static final double EFFECT_INTERVAL_MS = 100;
    private static final double READ_INTERVAL_MS = 500;

    /** Who believes what is looked at this often, and just before and after each process acts. */
    private static final double OBSERVATION_INTERVAL_MS = 20;

    /**
     * After the last fault somebody has the duty within this, where a majority of keepers is there.
     */
    private static final double MAX_ACQUISITION_MS = 30_000;

    /** A keeper that dies while regions are apart is back after this. */
    private static final double LEADER_RESTART_DELAY_MS = 60_000;

    /** Faults in the program, to see that they are found. */
    public enum Seeded {
        /** None. */
        NONE,
        /** What effects are for does not look at tokens. */
        NO_FENCE,
        /** Holders believe in their leases for longer than the leader does. */
        NO_MARGIN,
        /** A keeper that starts again has lost its disk, and votes as the same one. */
        FORGETFUL
    }

    /**
     * How it went.
     *
     * @param broken promises, in plain lines
     * @param gaps between two holders, in milliseconds
     */
    public record Outcome(
            List<String> broken, List<Double> gaps, int effects, int refused, int grants) {}

    private final FleetPlan plan;
    private final Seeded seeded;
    private final int raftServerCount;

    /** By a member's number, how much it wants the duty: the lowest goes first. */
    private final IntUnaryOperator preference;

    private final VirtualTime time = new VirtualTime();
    private final VirtualFleet fleet;
    private final SplittableRandom random;
    private final LeaseHistory history = new LeaseHistory();
    private final FencingGuard fencingGuard = new FencingGuard();
    private final Map<Integer, MemoryStore> stores = new HashMap<>();
    private final Map<Integer, TrialProcess> processes = new TreeMap<>();
    private final double startMs = time.now();

    private LeaseTrial(
            FleetPlan plan,
            Seeded seeded,
            int keeperCount,
            IntUnaryOperator preference,
            Places places) {
        this.plan = plan;
        this.seeded = seeded;
        this.raftServerCount = keeperCount;
        this.preference = preference;
        random = new SplittableRandom(plan.seed() * 17 + 3);
        fleet =
                new VirtualFleet(
                        plan,
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {},
                        this::startProcess,
                        time,
                        places);
    }

    /** A plan for keepers and others, drawn by a seed. */
    public static FleetPlan drawn(long seed) {
        return FleetPlan.drawn(seed, RAFT_SERVERS + 6);
    }

    /** Plays a plan, whose first five members are keepers. */
    public static Outcome play(FleetPlan plan, Seeded seeded) {
        return new LeaseTrial(plan, seeded, RAFT_SERVERS, number -> number % 3, Places.NONE).play();
    }

    /**
     * Two regions, r1 and r2, that lose each other; other regions lose none.
     *
     * @param raftServers so many of the members are keepers, the first ones
     * @param preference by a member's number, how much it wants the duty: the lowest goes first
     * @param startsAtMs when it begins, in milliseconds
     * @param leaderDiesAfterMs from the begin until the keepers' leader ends and starts again a
     *     minute later; 0 for never
     * @param afterMs how long is played on when they have found each other
     */
    record RegionPartition(
            int raftServers,
            IntUnaryOperator preference,
            Places places,
            double startsAtMs,
            double durationMs,
            double leaderDiesAfterMs,
            double afterMs) {}

    /**
     * How a play of regions apart went.
     *
     * @param leader of the keepers when the cut began, or empty
     */
    record PartitionOutcome(
            String leader, List<LeaseHistory.Holding> holdings, List<String> violations) {}

    /** Plays keepers and others at places while two regions are apart. */
    static PartitionOutcome playPartition(FleetPlan plan, RegionPartition cut) {
        LeaseTrial trial =
                new LeaseTrial(
                        plan, Seeded.NONE, cut.raftServers(), cut.preference(), cut.places());
        String[] leader = {""};
        trial.time.after(
                cut.startsAtMs(),
                () -> {
                    leader[0] = trial.leader().map(keeper -> keeper.node.name).orElse("");
                    trial.setRegionsPartitioned(true);
                });
        if (cut.leaderDiesAfterMs() > 0) {
            trial.time.after(
                    cut.startsAtMs() + cut.leaderDiesAfterMs(),
                    () ->
                            trial.leader()
                                    .ifPresent(
                                            keeper ->
                                                    trial.fleet.inject(
                                                            new Fault(
                                                                    0,
                                                                    Fault.Kind.KILL,
                                                                    List.of(keeper.node.number),
                                                                    LEADER_RESTART_DELAY_MS,
                                                                    0))));
        }
        trial.time.after(
                cut.startsAtMs() + cut.durationMs(), () -> trial.setRegionsPartitioned(false));
        trial.time.after(0, trial::observeHolders);
        double end = cut.startsAtMs() + cut.durationMs() + cut.afterMs();
        trial.fleet.runUntil(end);
        return new PartitionOutcome(
                leader[0], trial.history.holdings(end), trial.history.violations());
    }

    /** The keeper that leads now, by its own word; of two the one of the later term. */
    private Optional<RaftServerProcess> leader() {
        return processes.values().stream()
                .filter(RaftServerProcess.class::isInstance)
                .map(RaftServerProcess.class::cast)
                .filter(
                        keeper ->
                                !keeper.ended
                                        && keeper.node.isRunning()
                                        && keeper.raft != null
                                        && keeper.raft.isLeader())
                .max(Comparator.comparingLong(keeper -> keeper.raft.term()));
    }

    private void setRegionsPartitioned(boolean isCut) {
        fleet.setRegionPartitioned("r1", "r2", isCut);
        fleet.setRegionPartitioned("r2", "r1", isCut);
    }

    private List<String> raftServerNames() {
        return IntStream.range(0, raftServerCount).mapToObj(i -> "m" + i).toList();
    }

    private PiggybackPayload startProcess(VirtualFleet.Node node) {
        TrialProcess before = processes.get(node.number);
        if (before != null) {
            before.ended = true;
        }
        TrialProcess process =
                node.number < raftServerCount
                        ? new RaftServerProcess(node)
                        : new CandidateProcess(node);
        processes.put(node.number, process);
        // It begins once its membership is there.
        time.after(0, () -> process.runWhenActive(process::begin));
        return process.payloads;
    }

    /** A process of the trial, whose tasks run only while it does. */
    private abstract class TrialProcess {
        final VirtualFleet.Node node;
        final CompositePayload payloads = new CompositePayload();
        final Deque<Runnable> pendingTasks = new ArrayDeque<>();
        boolean ended;

        TrialProcess(VirtualFleet.Node node) {
            this.node = node;
        }

        abstract void begin();

        /** Runs now, or when a process that stands still goes on, or never. */
        void runWhenActive(Runnable task) {
            if (ended || !node.isRunning()) {
                return;
            }
            if (node.paused || !pendingTasks.isEmpty()) {
                pendingTasks.add(task);
                if (pendingTasks.size() == 1) {
                    time.after(ADVANCE_INTERVAL_MS / 5, this::resume);
                }
                return;
            }
            task.run();
            if (node.isRunning()) {
                node.scheduleTimer();
            }
        }

        private void resume() {
            if (node.paused && node.isRunning() && !ended) {
                time.after(ADVANCE_INTERVAL_MS / 5, this::resume);
                return;
            }
            List<Runnable> all = new ArrayList<>(pendingTasks);
            pendingTasks.clear();
            all.forEach(this::runWhenActive);
        }

        void repeatEvery(double ms, Runnable task) {
            time.after(
                    ms,
                    () -> {
                        if (!ended && node.isRunning()) {
                            runWhenActive(task);
                            repeatEvery(ms, task);
                        }
                    });
        }

        long sendQuestion(String member, String letter, ByteBuffer bytes) {
            return node.membership.sendQuestion(
                    node.localTimeMs(), member, CompositePayload.encodeSingle(letter, bytes));
        }
    }

    private final class RaftServerProcess extends TrialProcess
            implements RaftNodeExecutor, RaftReplica.Network {
        RaftReplica raft;

        RaftServerProcess(VirtualFleet.Node node) {
            super(node);
        }

        @Override
        void begin() {
            if (seeded == Seeded.FORGETFUL) {
                stores.remove(node.number);
            }
            MemoryStore disk = stores.computeIfAbsent(node.number, number -> new MemoryStore());
            disk.crash();
            raft =
                    new RaftReplica(
                            0,
                            new RaftEndpointId(node.name),
                            raftServerNames().stream().map(RaftEndpointId::new).toList(),
                            LeaseSettings.DEFAULT,
                            new RaftReplica.Environment(
                                    this,
                                    new Random(random.nextLong()),
                                    node::localTimeMs,
                                    this,
                                    () -> new RaftReplica.OpenStore(disk, disk.restored())));
            payloads.with(LeaseCodec.LETTER, raft.leaseRequestHandler())
                    .with(RaftReplica.LETTER, raft.raftMessageHandler());
            repeatEvery(ADVANCE_INTERVAL_MS, raft::advance);
        }

        @Override
        public void execute(Runnable task) {
            time.after(0, () -> runWhenActive(task));
        }

        @Override
        public void submit(Runnable task) {
            time.after(0, () -> runWhenActive(task));
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            time.after(unit.toMillis(delay) / node.clockRate, () -> runWhenActive(task));
        }

        @Override
        public void send(String keeper, ByteBuffer message) {
            sendQuestion(keeper, RaftReplica.LETTER, message);
        }

        @Override
        public void sendResponse(String member, long sequence, ByteBuffer answer) {
            node.membership.sendAnswer(
                    node.localTimeMs(),
                    member,
                    sequence,
                    CompositePayload.encodeSingle(LeaseCodec.LETTER, answer));
        }

        @Override
        public boolean isPresent(String member) {
            return node.membership.member(member) != null
                    && node.membership.member(member).state().isPresent();
        }
    }

    /** One that wants the duty, and acts while it has it. */
    private final class CandidateProcess extends TrialProcess
            implements LeaseClient.Callbacks, PiggybackPayload {
        LeaseClient client;
        final Map<Long, Double> requestTimes = new HashMap<>();

        CandidateProcess(VirtualFleet.Node node) {
            super(node);
        }

        @Override
        void begin() {
            LeaseSettings terms =
                    seeded != Seeded.NO_MARGIN
                            ? LeaseSettings.DEFAULT
                            : new LeaseSettings(
                                    LeaseSettings.DEFAULT.leaseDurationMs() * 2,
                                    0,
                                    0,
                                    LeaseSettings.DEFAULT.renewIntervalMs(),
                                    LeaseSettings.DEFAULT.maxWaitMs(),
                                    LeaseSettings.DEFAULT.responseTimeoutMs(),
                                    LeaseSettings.DEFAULT.selectionDelayMs());
            client =
                    new LeaseClient(
                            terms,
                            node.name,
                            random.nextLong() >>> 1,
                            raftServerNames(),
                            random.split(),
                            this);
            payloads.with(LeaseCodec.LETTER, this);
            client.requestRole(node.localTimeMs(), ROLE, preference.applyAsInt(node.number));
            repeatEvery(ADVANCE_INTERVAL_MS, () -> client.advance(node.localTimeMs()));
            repeatEvery(EFFECT_INTERVAL_MS, this::act);
            repeatEvery(
                    READ_INTERVAL_MS,
                    () -> {
                        String keeper = raftServerNames().get(random.nextInt(raftServerCount));
                        long sequence =
                                sendQuestion(
                                        keeper,
                                        LeaseCodec.LETTER,
                                        LeaseCodec.question(
                                                new LeaseClient.Request(
                                                        keeper,
                                                        new LeaseCommand(
                                                                LeaseCommand.Kind.READ,
                                                                ROLE,
                                                                node.name,
                                                                0,
                                                                0,
                                                                0),
                                                        0)));
                        requestTimes.put(sequence, time.now());
                    });
        }

        private void act() {
            long token = client.currentToken(node.localTimeMs(), ROLE);
            if (token == 0) {
                return;
            }
            // Mostly soon; now and then it lies somewhere for seconds, also while the process
            // stands still.
            double way =
                    random.nextInt(20) == 0 ? random.nextDouble() * 8000 : random.nextDouble() * 20;
            time.after(
                    way,
                    () ->
                            history.recordEffect(
                                    time.now() - startMs,
                                    token,
                                    fencingGuard.admits(ROLE, token) || seeded == Seeded.NO_FENCE));
        }

        @Override
        public long sendRequest(LeaseClient.Request question) {
            long sequence =
                    sendQuestion(
                            question.server(), LeaseCodec.LETTER, LeaseCodec.question(question));
            requestTimes.put(sequence, time.now());
            return sequence;
        }

        @Override
        public void onAnswer(double now, String from, long sequence, ByteBuffer bytes) {
            try {
                LeaseClient.Response answer = LeaseCodec.answer(bytes);
                Double at = requestTimes.remove(sequence);
                if (answer.accepted() && at != null) {
                    history.recordAnswer(
                            at, time.now(), answer.lease().token(), answer.lease().renewalCount());
                }
                client.onResponse(now, sequence, answer);
            } catch (java.io.IOException e) {
                throw new IllegalStateException("what is written can be read", e);
            }
        }
    }

    private void observeHolders() {
        Map<String, Long> believing = new TreeMap<>();
        for (TrialProcess process : processes.values()) {
            if (process instanceof CandidateProcess holder
                    && holder.client != null
                    && !holder.ended
                    && holder.node.isRunning()
                    && !holder.node.paused) {
                long token = holder.client.currentToken(holder.node.localTimeMs(), ROLE);
                if (token > 0) {
                    believing.put(holder.node.name, token);
                }
            }
        }
        history.recordBelievedHolders(time.now() - startMs, believing);
        time.after(OBSERVATION_INTERVAL_MS, this::observeHolders);
    }

    private Outcome play() {
        time.after(0, this::observeHolders);
        fleet.runUntil(plan.lastFaultMs() + MAX_ACQUISITION_MS);
        List<String> broken = new ArrayList<>(history.violations());
        long keepers =
                fleet.nodes().stream()
                        .filter(node -> node.number < RAFT_SERVERS && node.isRunning())
                        .count();
        boolean wanted =
                fleet.nodes().stream()
                        .anyMatch(node -> node.number >= RAFT_SERVERS && node.isRunning());
        if (keepers * 2 > RAFT_SERVERS && wanted && !history.hasHolder()) {
            broken.add(
                    "somebody has it: nobody does "
                            + MAX_ACQUISITION_MS / 1000
                            + " s after the last fault");
        }
        return new Outcome(
                broken,
                history.gaps(),
                history.acceptedEffects(),
                history.rejectedEffects(),
                history.grants());
    }
}
