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

    private static final int KEEPERS = 5;
    private static final String DUTY = "duty";
    private static final double ADVANCE_MS = 50;
    private static final double EFFECT_MS = 100;
    private static final double LOOK_MS = 500;

    /** Who believes what is looked at this often, and just before and after each process acts. */
    private static final double WATCH_MS = 20;

    /**
     * After the last fault somebody has the duty within this, where a majority of keepers is there.
     */
    private static final double SETTLE_MS = 30_000;

    /** A keeper that dies while regions are apart is back after this. */
    private static final double BACK_MS = 60_000;

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
    private final int keeperCount;

    /** By a member's number, how much it wants the duty: the lowest goes first. */
    private final IntUnaryOperator preference;

    private final VirtualTime time = new VirtualTime();
    private final VirtualFleet fleet;
    private final SplittableRandom random;
    private final LeaseHistory history = new LeaseHistory();
    private final FencingGuard fence = new FencingGuard();
    private final Map<Integer, MemoryStore> disks = new HashMap<>();
    private final Map<Integer, Process> processes = new TreeMap<>();
    private final double startMs = time.now();

    private LeaseTrial(
            FleetPlan plan,
            Seeded seeded,
            int keeperCount,
            IntUnaryOperator preference,
            Places places) {
        this.plan = plan;
        this.seeded = seeded;
        this.keeperCount = keeperCount;
        this.preference = preference;
        random = new SplittableRandom(plan.seed() * 17 + 3);
        fleet =
                new VirtualFleet(
                        plan,
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {},
                        this::process,
                        time,
                        places);
    }

    /** A plan for keepers and others, drawn by a seed. */
    public static FleetPlan drawn(long seed) {
        return FleetPlan.drawn(seed, KEEPERS + 6);
    }

    /** Plays a plan, whose first five members are keepers. */
    public static Outcome play(FleetPlan plan, Seeded seeded) {
        return new LeaseTrial(plan, seeded, KEEPERS, number -> number % 3, Places.NONE).play();
    }

    /**
     * Two regions, r1 and r2, that lose each other; other regions lose none.
     *
     * @param keepers so many of the members are keepers, the first ones
     * @param preference by a member's number, how much it wants the duty: the lowest goes first
     * @param at when it begins, in milliseconds
     * @param leaderDies from the begin until the keepers' leader ends and starts again a minute
     *     later; 0 for never
     * @param afterMs how long is played on when they have found each other
     */
    record Cut(
            int keepers,
            IntUnaryOperator preference,
            Places places,
            double at,
            double lasts,
            double leaderDies,
            double afterMs) {}

    /**
     * How a play of regions apart went.
     *
     * @param leader of the keepers when the cut began, or empty
     */
    record Apart(String leader, List<LeaseHistory.Holding> holdings, List<String> broken) {}

    /** Plays keepers and others at places while two regions are apart. */
    static Apart playApart(FleetPlan plan, Cut cut) {
        LeaseTrial trial =
                new LeaseTrial(plan, Seeded.NONE, cut.keepers(), cut.preference(), cut.places());
        String[] leader = {""};
        trial.time.after(
                cut.at(),
                () -> {
                    leader[0] = trial.leader().map(keeper -> keeper.node.name).orElse("");
                    trial.cut(true);
                });
        if (cut.leaderDies() > 0) {
            trial.time.after(
                    cut.at() + cut.leaderDies(),
                    () ->
                            trial.leader()
                                    .ifPresent(
                                            keeper ->
                                                    trial.fleet.strike(
                                                            new Fault(
                                                                    0,
                                                                    Fault.Kind.KILL,
                                                                    List.of(keeper.node.number),
                                                                    BACK_MS,
                                                                    0))));
        }
        trial.time.after(cut.at() + cut.lasts(), () -> trial.cut(false));
        trial.time.after(0, trial::watch);
        double end = cut.at() + cut.lasts() + cut.afterMs();
        trial.fleet.play(end);
        return new Apart(leader[0], trial.history.holdings(end), trial.history.broken());
    }

    /** The keeper that leads now, by its own word; of two the one of the later term. */
    private Optional<Keeper> leader() {
        return processes.values().stream()
                .filter(Keeper.class::isInstance)
                .map(Keeper.class::cast)
                .filter(
                        keeper ->
                                !keeper.ended
                                        && keeper.node.runs()
                                        && keeper.raft != null
                                        && keeper.raft.isLeader())
                .max(Comparator.comparingLong(keeper -> keeper.raft.term()));
    }

    private void cut(boolean isCut) {
        fleet.cut("r1", "r2", isCut);
        fleet.cut("r2", "r1", isCut);
    }

    private List<String> keepers() {
        return IntStream.range(0, keeperCount).mapToObj(i -> "m" + i).toList();
    }

    private PiggybackPayload process(VirtualFleet.Node node) {
        Process before = processes.get(node.number);
        if (before != null) {
            before.ended = true;
        }
        Process process = node.number < keeperCount ? new Keeper(node) : new Holder(node);
        processes.put(node.number, process);
        // It begins once its membership is there.
        time.after(0, () -> process.guarded(process::begin));
        return process.riders;
    }

    /** A process of the trial, whose tasks run only while it does. */
    private abstract class Process {
        final VirtualFleet.Node node;
        final CompositePayload riders = new CompositePayload();
        final Deque<Runnable> waiting = new ArrayDeque<>();
        boolean ended;

        Process(VirtualFleet.Node node) {
            this.node = node;
        }

        abstract void begin();

        /** Runs now, or when a process that stands still goes on, or never. */
        void guarded(Runnable task) {
            if (ended || !node.runs()) {
                return;
            }
            if (node.paused || !waiting.isEmpty()) {
                waiting.add(task);
                if (waiting.size() == 1) {
                    time.after(ADVANCE_MS / 5, this::resume);
                }
                return;
            }
            task.run();
            if (node.runs()) {
                node.plan();
            }
        }

        private void resume() {
            if (node.paused && node.runs() && !ended) {
                time.after(ADVANCE_MS / 5, this::resume);
                return;
            }
            List<Runnable> all = new ArrayList<>(waiting);
            waiting.clear();
            all.forEach(this::guarded);
        }

        void every(double ms, Runnable task) {
            time.after(
                    ms,
                    () -> {
                        if (!ended && node.runs()) {
                            guarded(task);
                            every(ms, task);
                        }
                    });
        }

        long ask(String member, String letter, ByteBuffer bytes) {
            return node.membership.sendQuestion(
                    node.clock(), member, CompositePayload.encodeSingle(letter, bytes));
        }
    }

    private final class Keeper extends Process implements RaftNodeExecutor, RaftReplica.Network {
        RaftReplica raft;

        Keeper(VirtualFleet.Node node) {
            super(node);
        }

        @Override
        void begin() {
            if (seeded == Seeded.FORGETFUL) {
                disks.remove(node.number);
            }
            MemoryStore disk = disks.computeIfAbsent(node.number, number -> new MemoryStore());
            disk.crash();
            raft =
                    new RaftReplica(
                            0,
                            new RaftEndpointId(node.name),
                            keepers().stream().map(RaftEndpointId::new).toList(),
                            LeaseSettings.DEFAULT,
                            new RaftReplica.Environment(
                                    this,
                                    new Random(random.nextLong()),
                                    node::clock,
                                    this,
                                    () -> new RaftReplica.OpenStore(disk, disk.restored())));
            riders.with(LeaseCodec.LETTER, raft.leaseRequestHandler())
                    .with(RaftReplica.LETTER, raft.raftMessageHandler());
            every(ADVANCE_MS, raft::advance);
        }

        @Override
        public void execute(Runnable task) {
            time.after(0, () -> guarded(task));
        }

        @Override
        public void submit(Runnable task) {
            time.after(0, () -> guarded(task));
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            time.after(unit.toMillis(delay) / node.rate, () -> guarded(task));
        }

        @Override
        public void send(String keeper, ByteBuffer message) {
            ask(keeper, RaftReplica.LETTER, message);
        }

        @Override
        public void sendResponse(String member, long sequence, ByteBuffer answer) {
            node.membership.sendAnswer(
                    node.clock(),
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
    private final class Holder extends Process implements LeaseClient.Callbacks, PiggybackPayload {
        LeaseClient client;
        final Map<Long, Double> asked = new HashMap<>();

        Holder(VirtualFleet.Node node) {
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
                            keepers(),
                            random.split(),
                            this);
            riders.with(LeaseCodec.LETTER, this);
            client.requestRole(node.clock(), DUTY, preference.applyAsInt(node.number));
            every(ADVANCE_MS, () -> client.advance(node.clock()));
            every(EFFECT_MS, this::act);
            every(
                    LOOK_MS,
                    () -> {
                        String keeper = keepers().get(random.nextInt(keeperCount));
                        long sequence =
                                ask(
                                        keeper,
                                        LeaseCodec.LETTER,
                                        LeaseCodec.question(
                                                new LeaseClient.Request(
                                                        keeper,
                                                        new LeaseCommand(
                                                                LeaseCommand.Kind.READ,
                                                                DUTY,
                                                                node.name,
                                                                0,
                                                                0,
                                                                0),
                                                        0)));
                        asked.put(sequence, time.now());
                    });
        }

        private void act() {
            long token = client.currentToken(node.clock(), DUTY);
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
                            history.effect(
                                    time.now() - startMs,
                                    token,
                                    fence.admits(DUTY, token) || seeded == Seeded.NO_FENCE));
        }

        @Override
        public long sendRequest(LeaseClient.Request question) {
            long sequence =
                    ask(question.server(), LeaseCodec.LETTER, LeaseCodec.question(question));
            asked.put(sequence, time.now());
            return sequence;
        }

        @Override
        public void onAnswer(double now, String from, long sequence, ByteBuffer bytes) {
            try {
                LeaseClient.Response answer = LeaseCodec.answer(bytes);
                Double at = asked.remove(sequence);
                if (answer.accepted() && at != null) {
                    history.answered(
                            at, time.now(), answer.lease().token(), answer.lease().renewalCount());
                }
                client.onResponse(now, sequence, answer);
            } catch (java.io.IOException e) {
                throw new IllegalStateException("what is written can be read", e);
            }
        }
    }

    private void watch() {
        Map<String, Long> believing = new TreeMap<>();
        for (Process process : processes.values()) {
            if (process instanceof Holder holder
                    && holder.client != null
                    && !holder.ended
                    && holder.node.runs()
                    && !holder.node.paused) {
                long token = holder.client.currentToken(holder.node.clock(), DUTY);
                if (token > 0) {
                    believing.put(holder.node.name, token);
                }
            }
        }
        history.believers(time.now() - startMs, believing);
        time.after(WATCH_MS, this::watch);
    }

    private Outcome play() {
        time.after(0, this::watch);
        fleet.play(plan.lastFaultMs() + SETTLE_MS);
        List<String> broken = new ArrayList<>(history.broken());
        long keepers =
                fleet.nodes().stream().filter(node -> node.number < KEEPERS && node.runs()).count();
        boolean wanted =
                fleet.nodes().stream().anyMatch(node -> node.number >= KEEPERS && node.runs());
        if (keepers * 2 > KEEPERS && wanted && !history.isHeld()) {
            broken.add(
                    "somebody has it: nobody does " + SETTLE_MS / 1000 + " s after the last fault");
        }
        return new Outcome(
                broken, history.gaps(), history.effects(), history.refused(), history.grants());
    }
}
