package poppynotch.lab.drill;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.measure.Result;
import poppynotch.lab.socket.LoopbackAddresses;
import poppynotch.lab.socket.SocketWorld;
import poppynotch.lab.world.Sidecars.Placement;

/**
 * Plays a drill: a day of the lab with real sidecar processes that form a fleet, while the faults
 * of a {@link DrillPlan} are injected into the processes and the links between them.
 *
 * <p>{@link #play} makes, runs and closes it. Its callbacks are called by the {@link SocketWorld}
 * of the day on that one's event loop; faults are injected on a thread of its own. The processes
 * belong to the day; relays, samplers and the file of seeds are released by {@link #close}.
 */
public final class Drill implements SocketWorld.ProcessHooks, AutoCloseable {

    /** Groups of loopback addresses that no other part of the lab uses. */
    private static final int ADMIN_ADDRESS_GROUP = 3;

    private static final int MEMBER_ADDRESS_GROUP = 4;

    /** An event names the processes that a fault is for, up to so many. */
    private static final int MAX_NAMES_IN_EVENT = 6;

    private final DrillPlan plan;
    private final Experiment experiment;
    private final long seed;
    private final LinkRelays links;
    private final MembershipTimeline timeline = new MembershipTimeline();
    private final ScheduledExecutorService faultScheduler =
            Executors.newSingleThreadScheduledExecutor(
                    new DefaultThreadFactory("fault-injector", true));
    private final Path seedsFile = Files.createTempFile("drill-seeds", ".json");
    private final List<String> seedEntries = new ArrayList<>();

    /** By the number of the sidecar: each start of a process has an entry of its own. */
    private final Map<Integer, DrillProcess> processes = new ConcurrentHashMap<>();

    private final List<String> events = Collections.synchronizedList(new ArrayList<>());
    private final List<DrillOutcome.InjectedFault> injected =
            Collections.synchronizedList(new ArrayList<>());
    private volatile SocketWorld.PauseListener pauseListener;

    private Drill(DrillPlan plan, Experiment experiment, long seed) throws IOException {
        this.plan = plan;
        this.experiment = experiment;
        this.seed = seed;
        links = new LinkRelays(seed);
    }

    /**
     * Plays a drill once.
     *
     * @param plan the faults to inject
     * @param experiment the day
     * @param seed for the day, and for the choice of the processes that a fault is for
     * @param launch how sidecars are started
     * @param progress is called with the fraction of the day that is over, from 0 to 1
     * @throws IOException if a process cannot be started or the day is interrupted
     */
    public static DrillOutcome play(
            DrillPlan plan,
            Experiment experiment,
            long seed,
            SocketWorld.Launch launch,
            DoubleConsumer progress)
            throws IOException {
        try (Drill drill = new Drill(plan, experiment, seed)) {
            Result day = SocketWorld.play(experiment, seed, Map.of(), launch, progress, drill);
            return drill.outcome(day);
        }
    }

    private static String memberName(Placement post) {
        // A restarted front is at the same position; in other tiers each model server has a sidecar
        // of its own, which gets a new number.
        return post.tier() == 0
                ? "front-" + post.position()
                : "tier" + post.tier() + "-n" + post.number();
    }

    @Override
    public synchronized void configure(
            Placement post, InetSocketAddress listen, ObjectNode config) {
        InetSocketAddress admin = LoopbackAddresses.allocate(ADMIN_ADDRESS_GROUP, post.number());
        InetSocketAddress memberAddress =
                LoopbackAddresses.allocate(MEMBER_ADDRESS_GROUP, post.number());
        String relay = LoopbackAddresses.format(links.relayTo(memberAddress));
        seedEntries.add("{\"addr\":\"" + relay + "\"}");
        DrillProcess member =
                new DrillProcess(
                        post.number(),
                        memberName(post),
                        experiment.world().zones().get(post.zone()),
                        memberAddress.getAddress(),
                        timeline.now());
        processes.put(post.number(), member);
        config.put("name", member.name);
        config.put("management", LoopbackAddresses.format(admin));
        config.putObject("fleet")
                .put("name", plan.name())
                .put("listen", LoopbackAddresses.format(memberAddress))
                .put("advertise", relay)
                .put("seeds_file", seedsFile.toString())
                .put("zone", member.zone)
                .put("tier", experiment.world().tiers().get(post.tier()).name())
                .put("share", plan.share());
        writeSeeds();
        timeline.follow(member.runName(), admin, member::isStartingOrRunning);
    }

    /** Replaces the file of seeds at once, as running processes read it at any time. */
    private void writeSeeds() {
        try {
            Path next =
                    Files.writeString(
                            seedsFile.resolveSibling(seedsFile.getFileName() + ".next"),
                            "{\"servers\":[" + String.join(",", seedEntries) + "]}");
            Files.move(next, seedsFile, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void onStart(Placement post, CompletableFuture<Process> process) {
        DrillProcess member = processes.get(post.number());
        member.process = process;
        process.thenAccept(started -> started.onExit().thenRun(() -> onExit(member)));
    }

    private void onExit(DrillProcess member) {
        member.endedAt = timeline.now();
        addEvent(member.name + " ended");
    }

    private void addEvent(String what) {
        events.add(String.format(Locale.ROOT, "%.1f s: %s", timeline.now(), what));
    }

    @Override
    public void onBegin(SocketWorld.PauseListener listener) {
        pauseListener = listener;
        double beforeBegin = timeline.now();
        timeline.begin();
        processes.values().forEach(member -> member.startedAt -= beforeBegin);
        Random random = new Random(seed);
        for (DrillPlan.LinkFault fault : plan.faults()) {
            long faultSeed = random.nextLong();
            faultScheduler.schedule(
                    () -> inject(fault, new Random(faultSeed)),
                    Math.round(fault.at() * 1000),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void inject(DrillPlan.LinkFault fault, Random random) {
        List<DrillProcess> affected = chooseAffected(fault, random);
        List<String> names = affected.stream().map(member -> member.name).toList();
        LinkRelays.LinkFault linkFault =
                new LinkRelays.LinkFault(
                        fault.kind(),
                        affected.stream().map(member -> member.address).toList(),
                        fault.value());
        String what = describe(fault.kind(), names);
        double from = timeline.now();
        addEvent(what + " begins");
        if (fault.kind() == DrillPlan.Kind.PAUSE) {
            affected.forEach(this::pause);
        } else {
            links.addFault(linkFault);
        }
        injected.add(
                new DrillOutcome.InjectedFault(fault.kind(), names, from, from + fault.lasts()));
        faultScheduler.schedule(
                () -> {
                    if (fault.kind() == DrillPlan.Kind.PAUSE) {
                        affected.forEach(this::resume);
                    } else {
                        links.removeFault(linkFault);
                    }
                    addEvent(what + " ends");
                },
                Math.round(fault.lasts() * 1000),
                TimeUnit.MILLISECONDS);
    }

    /** The running processes of the fault's zone, or a random fraction of all, or all. */
    private List<DrillProcess> chooseAffected(DrillPlan.LinkFault fault, Random random) {
        List<DrillProcess> candidates =
                new ArrayList<>(
                        new TreeMap<>(processes)
                                .values().stream()
                                        .filter(DrillProcess::isRunning)
                                        .filter(
                                                member ->
                                                        fault.zone() == null
                                                                || member.zone.equals(fault.zone()))
                                        .toList());
        if (fault.zone() == null && fault.part() > 0) {
            Collections.shuffle(candidates, random);
            int count = (int) Math.max(1, Math.round(candidates.size() * fault.part()));
            candidates = candidates.subList(0, count);
        }
        return List.copyOf(candidates);
    }

    private static String describe(DrillPlan.Kind kind, List<String> names) {
        String affected =
                names.size() > MAX_NAMES_IN_EVENT
                        ? names.size() + " processes"
                        : String.join(", ", names);
        return kind.name().toLowerCase(Locale.ROOT) + " of " + affected;
    }

    /**
     * Stops a process. It cannot answer the requests it accepted, so the listener is notified
     * before that this is the drill's doing and not a failure of the process.
     */
    private void pause(DrillProcess member) {
        pauseListener.onPause(member.number, true);
        signal("STOP", member);
    }

    private void resume(DrillProcess member) {
        pauseListener.onPause(member.number, false);
        signal("CONT", member);
    }

    private void signal(String name, DrillProcess member) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(member.process.join().pid()))
                    .start()
                    .waitFor();
        } catch (IOException | InterruptedException e) {
            addEvent("SIG" + name + " could not be sent to " + member.name + ": " + e.getMessage());
        }
    }

    private DrillOutcome outcome(Result day) {
        List<DrillOutcome.ProcessRun> runs =
                new TreeMap<>(processes)
                        .values().stream()
                                .map(
                                        each ->
                                                new DrillOutcome.ProcessRun(
                                                        each.name,
                                                        each.runName(),
                                                        each.startedAt,
                                                        each.endedAt))
                                .toList();
        return DrillOutcome.of(
                plan, day, runs, List.copyOf(injected), timeline.samples(), List.copyOf(events));
    }

    @Override
    public void close() throws IOException {
        faultScheduler.shutdownNow();
        timeline.close();
        links.close();
        Files.deleteIfExists(seedsFile);
    }
}
