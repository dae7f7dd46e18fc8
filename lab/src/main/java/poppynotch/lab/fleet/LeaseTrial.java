package poppynotch.lab.fleet;

import io.microraft.executor.RaftNodeExecutor;
import java.io.IOException;
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
import poppynotch.lab.virtual.VirtualClock;

/**
 * Trial of leases on virtual time: five Raft servers and several candidates for one singleton role,
 * under the faults of a plan. Raft log, lease service, lease client and membership are the
 * product's. Whoever holds the lease sends effects, which may be under way for long, to a target
 * that checks their fencing tokens.
 *
 * <p>The static methods run one trial each on the calling thread; all callbacks run on that thread.
 */
public final class LeaseTrial {

    private static final int RAFT_SERVERS = 5;
    private static final String ROLE = "duty";
    private static final double ADVANCE_INTERVAL_MS = 50;
    private static final double EFFECT_INTERVAL_MS = 100;
    private static final double READ_INTERVAL_MS = 500;

    /** How often the processes are asked whether they believe to hold the lease. */
    private static final double OBSERVATION_INTERVAL_MS = 20;

    /**
     * Within this time after the last fault a candidate holds the lease, if a majority of the Raft
     * servers runs.
     */
    private static final double MAX_ACQUISITION_MS = 30_000;

    /** When a Raft leader that was killed during a partition starts again. */
    private static final double LEADER_RESTART_DELAY_MS = 60_000;

    /** How soon a task of a paused process is tried again. */
    private static final double PAUSE_POLL_MS = ADVANCE_INTERVAL_MS / 5;

    /** One effect in so many is under way for seconds, up to {@link #MAX_SLOW_EFFECT_MS}. */
    private static final int SLOW_EFFECT_ONE_IN = 20;

    private static final double MAX_SLOW_EFFECT_MS = 8000;
    private static final double MAX_FAST_EFFECT_MS = 20;

    /** Defects that are seeded to see that the trial detects them. */
    public enum SeededDefect {
        /** None. */
        NONE,
        /** The target of effects does not check fencing tokens. */
        NO_FENCE,
        /** Lease holders trust their leases for longer than the leader does. */
        NO_MARGIN,
        /** A restarted Raft server has lost its log, and votes as the same server. */
        FORGETFUL
    }

    /**
     * The outcome of a trial.
     *
     * @param violations violations of invariants, one line each
     * @param gaps times without a lease holder between two holders, in milliseconds
     * @param acceptedEffects how many effects were accepted
     * @param rejectedEffects how many effects were rejected by their fencing token
     * @param grants how many tokens were granted
     */
    public record Outcome(
            List<String> violations,
            List<Double> gaps,
            int acceptedEffects,
            int rejectedEffects,
            int grants) {}

    private final FleetPlan plan;
    private final SeededDefect seeded;
    private final int raftServerCount;

    /** The preference of a candidate by its member number; the lowest goes first. */
    private final IntUnaryOperator preference;

    private final VirtualClock time = new VirtualClock();
    private final VirtualFleet fleet;
    private final SplittableRandom random;
    private final LeaseHistory history = new LeaseHistory();
    private final FencingGuard fencingGuard = new FencingGuard();
    private final Map<Integer, MemoryStore> stores = new HashMap<>();
    private final Map<Integer, TrialProcess> processes = new TreeMap<>();
    private final double startMs = time.now();

    /** The name of the Raft leader when the regions' partition began; empty before and if none. */
    private String leaderBeforePartition = "";

    private LeaseTrial(
            FleetPlan plan,
            SeededDefect seeded,
            int keeperCount,
            IntUnaryOperator preference,
            FailureDomains places) {
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

    /** A random plan for the Raft servers and six candidates. */
    public static FleetPlan randomPlan(long seed) {
        return FleetPlan.random(seed, RAFT_SERVERS + 6);
    }

    /** Runs a plan whose first five members are the Raft servers. */
    public static Outcome run(FleetPlan plan, SeededDefect seeded) {
        return new LeaseTrial(plan, seeded, RAFT_SERVERS, number -> number % 3, FailureDomains.NONE)
                .run();
    }

    /**
     * A partition between the regions r1 and r2.
     *
     * @param raftServers how many of the first members are Raft servers
     * @param preference the preference of a candidate by its member number; the lowest goes first
     * @param startsAtMs when it begins, since the start of the fleet
     * @param leaderDiesAfterMs from the begin until the Raft leader is killed, which starts again a
     *     minute later; 0 for never
     * @param afterMs how long the trial goes on after the end of the partition
     */
    record RegionPartition(
            int raftServers,
            IntUnaryOperator preference,
            FailureDomains places,
            double startsAtMs,
            double durationMs,
            double leaderDiesAfterMs,
            double afterMs) {}

    /**
     * The outcome of a trial with a partition.
     *
     * @param leader the name of the Raft leader when the partition began, or empty
     */
    record PartitionOutcome(
            String leader, List<LeaseHistory.Holding> holdings, List<String> violations) {}

    /** Runs Raft servers and candidates through a partition between two regions. */
    static PartitionOutcome playPartition(FleetPlan plan, RegionPartition partition) {
        LeaseTrial trial =
                new LeaseTrial(
                        plan,
                        SeededDefect.NONE,
                        partition.raftServers(),
                        partition.preference(),
                        partition.places());
        return trial.run(partition);
    }

    private PartitionOutcome run(RegionPartition partition) {
        time.schedule(
                partition.startsAtMs(),
                () -> {
                    leaderBeforePartition = leader().map(server -> server.node.name).orElse("");
                    setRegionsPartitioned(true);
                });
        if (partition.leaderDiesAfterMs() > 0) {
            time.schedule(
                    partition.startsAtMs() + partition.leaderDiesAfterMs(),
                    () -> leader().ifPresent(server -> killForAWhile(server.node)));
        }
        time.schedule(
                partition.startsAtMs() + partition.durationMs(),
                () -> setRegionsPartitioned(false));
        time.schedule(0, this::observeHolders);
        double endMs = partition.startsAtMs() + partition.durationMs() + partition.afterMs();
        fleet.runUntil(endMs);
        return new PartitionOutcome(
                leaderBeforePartition, history.holdings(endMs), history.violations());
    }

    private void killForAWhile(VirtualFleet.Node node) {
        fleet.inject(
                new Fault(0, Fault.Kind.KILL, List.of(node.number), LEADER_RESTART_DELAY_MS, 0));
    }

    /** The Raft server that leads by its own state; of two the one with the later term. */
    private Optional<RaftServerProcess> leader() {
        return processes.values().stream()
                .filter(RaftServerProcess.class::isInstance)
                .map(RaftServerProcess.class::cast)
                .filter(
                        server ->
                                !server.ended
                                        && server.node.isRunning()
                                        && server.raft != null
                                        && server.raft.isLeader())
                .max(Comparator.comparingLong(server -> server.raft.term()));
    }

    private void setRegionsPartitioned(boolean isPartitioned) {
        fleet.setRegionPartitioned("r1", "r2", isPartitioned);
        fleet.setRegionPartitioned("r2", "r1", isPartitioned);
    }

    private List<String> raftServerNames() {
        return IntStream.range(0, raftServerCount).mapToObj(i -> "m" + i).toList();
    }

    private PiggybackPayload startProcess(VirtualFleet.Node node) {
        TrialProcess previous = processes.get(node.number);
        if (previous != null) {
            previous.ended = true;
        }
        TrialProcess process =
                node.number < raftServerCount
                        ? new RaftServerProcess(node)
                        : new CandidateProcess(node);
        processes.put(node.number, process);
        // Its membership does not exist yet: it is made with the payloads returned here.
        time.schedule(0, () -> process.runWhenActive(process::begin));
        return process.payloads;
    }

    /** A process of the trial; its tasks run only while it runs and is not paused. */
    private abstract class TrialProcess {
        final VirtualFleet.Node node;
        final CompositePayload payloads = new CompositePayload();
        final Deque<Runnable> pendingTasks = new ArrayDeque<>();
        boolean ended;

        TrialProcess(VirtualFleet.Node node) {
            this.node = node;
        }

        abstract void begin();

        /** Runs a task now, or after the pause of a paused process, or never once it has ended. */
        void runWhenActive(Runnable task) {
            if (ended || !node.isRunning()) {
                return;
            }
            if (node.paused || !pendingTasks.isEmpty()) {
                pendingTasks.add(task);
                if (pendingTasks.size() == 1) {
                    time.schedule(PAUSE_POLL_MS, this::resume);
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
                time.schedule(PAUSE_POLL_MS, this::resume);
                return;
            }
            List<Runnable> tasks = new ArrayList<>(pendingTasks);
            pendingTasks.clear();
            tasks.forEach(this::runWhenActive);
        }

        /** Runs a task at an interval until the process ends. */
        void repeatEvery(double intervalMs, Runnable task) {
            time.schedule(
                    intervalMs,
                    () -> {
                        if (!ended && node.isRunning()) {
                            runWhenActive(task);
                            repeatEvery(intervalMs, task);
                        }
                    });
        }

        /** Sends a question over membership; returns its sequence number. */
        long sendQuestion(String member, String letter, ByteBuffer bytes) {
            return node.membership.sendQuestion(
                    node.localTimeMs(), member, CompositePayload.encodeSingle(letter, bytes));
        }
    }

    /** A process that runs a Raft server on a store that outlives it. */
    private final class RaftServerProcess extends TrialProcess
            implements RaftNodeExecutor, RaftReplica.Network {
        RaftReplica raft;

        RaftServerProcess(VirtualFleet.Node node) {
            super(node);
        }

        @Override
        void begin() {
            if (seeded == SeededDefect.FORGETFUL) {
                stores.remove(node.number);
            }
            MemoryStore store = stores.computeIfAbsent(node.number, number -> new MemoryStore());
            store.crash();
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
                                    () -> new RaftReplica.OpenStore(store, store.restoredState())));
            payloads.with(LeaseCodec.LETTER, raft.leaseRequestHandler())
                    .with(RaftReplica.LETTER, raft.raftMessageHandler());
            repeatEvery(ADVANCE_INTERVAL_MS, raft::advance);
        }

        @Override
        public void execute(Runnable task) {
            time.schedule(0, () -> runWhenActive(task));
        }

        @Override
        public void submit(Runnable task) {
            time.schedule(0, () -> runWhenActive(task));
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            time.schedule(unit.toMillis(delay) / node.clockRate, () -> runWhenActive(task));
        }

        @Override
        public void send(String server, ByteBuffer message) {
            sendQuestion(server, RaftReplica.LETTER, message);
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

    /** A process that competes for the role, and sends effects while it holds the lease. */
    private final class CandidateProcess extends TrialProcess
            implements LeaseClient.Callbacks, PiggybackPayload {
        LeaseClient client;
        final Map<Long, Double> requestTimes = new HashMap<>();

        CandidateProcess(VirtualFleet.Node node) {
            super(node);
        }

        @Override
        void begin() {
            client =
                    new LeaseClient(
                            leaseSettings(),
                            node.name,
                            random.nextLong() >>> 1,
                            raftServerNames(),
                            random.split(),
                            this);
            payloads.with(LeaseCodec.LETTER, this);
            client.requestRole(node.localTimeMs(), ROLE, preference.applyAsInt(node.number));
            repeatEvery(ADVANCE_INTERVAL_MS, () -> client.advance(node.localTimeMs()));
            repeatEvery(EFFECT_INTERVAL_MS, this::sendEffect);
            repeatEvery(READ_INTERVAL_MS, this::readLease);
        }

        private LeaseSettings leaseSettings() {
            if (seeded != SeededDefect.NO_MARGIN) {
                return LeaseSettings.DEFAULT;
            }
            return new LeaseSettings(
                    LeaseSettings.DEFAULT.leaseDurationMs() * 2,
                    0,
                    0,
                    LeaseSettings.DEFAULT.renewIntervalMs(),
                    LeaseSettings.DEFAULT.maxWaitMs(),
                    LeaseSettings.DEFAULT.responseTimeoutMs(),
                    LeaseSettings.DEFAULT.selectionDelayMs());
        }

        /** Reads the lease from any Raft server, for the check that reads are linearizable. */
        private void readLease() {
            String server = raftServerNames().get(random.nextInt(raftServerCount));
            LeaseCommand read = new LeaseCommand(LeaseCommand.Kind.READ, ROLE, node.name, 0, 0, 0);
            sendRequest(new LeaseClient.Request(server, read, 0));
        }

        private void sendEffect() {
            long token = client.currentToken(node.localTimeMs(), ROLE);
            if (token == 0) {
                return;
            }
            // Most arrive soon; a few are delayed by seconds, also while the process is paused.
            double delayMs =
                    random.nextInt(SLOW_EFFECT_ONE_IN) == 0
                            ? random.nextDouble() * MAX_SLOW_EFFECT_MS
                            : random.nextDouble() * MAX_FAST_EFFECT_MS;
            time.schedule(
                    delayMs,
                    () ->
                            history.recordEffect(
                                    time.now() - startMs,
                                    token,
                                    fencingGuard.admits(ROLE, token)
                                            || seeded == SeededDefect.NO_FENCE));
        }

        @Override
        public long sendRequest(LeaseClient.Request request) {
            long sequence =
                    sendQuestion(
                            request.server(),
                            LeaseCodec.LETTER,
                            LeaseCodec.encodeQuestion(request));
            requestTimes.put(sequence, time.now());
            return sequence;
        }

        @Override
        public void onAnswer(double now, String from, long sequence, ByteBuffer bytes) {
            try {
                LeaseClient.Response answer = LeaseCodec.decodeAnswer(bytes);
                Double requestedAtMs = requestTimes.remove(sequence);
                if (answer.accepted() && requestedAtMs != null) {
                    history.recordAnswer(
                            requestedAtMs,
                            time.now(),
                            answer.lease().token(),
                            answer.lease().renewalCount());
                }
                client.onResponse(now, sequence, answer);
            } catch (IOException e) {
                throw new IllegalStateException(
                        "cannot decode the answer of " + from + " to request " + sequence, e);
            }
        }
    }

    private void observeHolders() {
        Map<String, Long> tokens = new TreeMap<>();
        for (TrialProcess process : processes.values()) {
            if (process instanceof CandidateProcess candidate
                    && candidate.client != null
                    && !candidate.ended
                    && candidate.node.isRunning()
                    && !candidate.node.paused) {
                long token = candidate.client.currentToken(candidate.node.localTimeMs(), ROLE);
                if (token > 0) {
                    tokens.put(candidate.node.name, token);
                }
            }
        }
        history.recordBelievedHolders(time.now() - startMs, tokens);
        time.schedule(OBSERVATION_INTERVAL_MS, this::observeHolders);
    }

    private Outcome run() {
        time.schedule(0, this::observeHolders);
        fleet.runUntil(plan.lastFaultMs() + MAX_ACQUISITION_MS);
        List<String> violations = new ArrayList<>(history.violations());
        long runningServers =
                fleet.nodes().stream()
                        .filter(node -> node.number < RAFT_SERVERS && node.isRunning())
                        .count();
        boolean hasCandidate =
                fleet.nodes().stream()
                        .anyMatch(node -> node.number >= RAFT_SERVERS && node.isRunning());
        if (runningServers * 2 > RAFT_SERVERS && hasCandidate && !history.hasHolder()) {
            violations.add(
                    "somebody has it: nobody does "
                            + MAX_ACQUISITION_MS / 1000
                            + " s after the last fault");
        }
        return new Outcome(
                violations,
                history.gaps(),
                history.acceptedEffects(),
                history.rejectedEffects(),
                history.grants());
    }
}
