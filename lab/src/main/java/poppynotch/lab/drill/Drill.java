package poppynotch.lab.drill;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
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
import poppynotch.lab.socket.Addresses;
import poppynotch.lab.socket.SocketWorld;
import poppynotch.lab.world.Sidecars.Post;

/**
 * Plays a drill on real processes: a day of the lab's, with a fleet whose links the drill breaks.
 */
public final class Drill implements SocketWorld.Addition, AutoCloseable {

    /** Groups of loopback addresses that the lab's other parts do not use. */
    private static final int DOORS = 3;

    /** One process of the drill. */
    private static final class Member {
        int number;
        String name;
        String zone;
        InetAddress address;
        CompletableFuture<Process> process;
        double startedAt;
        volatile double endedAt = Double.POSITIVE_INFINITY;

        boolean lives() {
            return process.isDone()
                    && !process.isCompletedExceptionally()
                    && process.join().isAlive();
        }
    }

    private final DrillPlan plan;
    private final Experiment experiment;
    private final long seed;
    private final Links links;
    private final Timeline timeline = new Timeline();
    private final ScheduledExecutorService director =
            Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("director", true));
    private final Path seedsFile = Files.createTempFile("drill-seeds", ".json");
    private final List<String> relays = new ArrayList<>();

    /** By process: each start has an entry of its own. */
    private final Map<Integer, Member> members = new ConcurrentHashMap<>();

    private final List<String> events = Collections.synchronizedList(new ArrayList<>());
    private volatile SocketWorld.Standstill standstill;
    private final List<DrillOutcome.Struck> struck =
            Collections.synchronizedList(new ArrayList<>());

    private Drill(DrillPlan plan, Experiment experiment, long seed) throws IOException {
        this.plan = plan;
        this.experiment = experiment;
        this.seed = seed;
        links = new Links(seed);
    }

    /** Plays a drill once. */
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

    private static String name(Post post) {
        // The place is the same after a restart at the front; elsewhere each nodo has a sidecar of
        // its own.
        return post.tier() == 0
                ? "front-" + post.place()
                : "tier" + post.tier() + "-n" + post.number();
    }

    @Override
    public synchronized void configure(Post post, InetSocketAddress listen, ObjectNode config) {
        InetSocketAddress door = Addresses.fresh(DOORS, post.number());
        InetSocketAddress own = Addresses.fresh(DOORS + 1, post.number());
        String relay = Addresses.text(links.relayTo(own));
        relays.add("{\"addr\":\"" + relay + "\"}");
        Member member = new Member();
        member.number = post.number();
        member.name = name(post);
        member.zone = experiment.world().zones().get(post.zone());
        member.address = own.getAddress();
        member.startedAt = timeline.now();
        members.put(post.number(), member);
        config.put("name", member.name);
        config.put("management", Addresses.text(door));
        config.putObject("fleet")
                .put("name", plan.name())
                .put("listen", Addresses.text(own))
                .put("advertise", relay)
                .put("seeds_file", seedsFile.toString())
                .put("zone", member.zone)
                .put("tier", experiment.world().tiers().get(post.tier()).name())
                .put("share", plan.share());
        try {
            Path next =
                    Files.writeString(
                            seedsFile.resolveSibling(seedsFile.getFileName() + ".next"),
                            "{\"servers\":[" + String.join(",", relays) + "]}");
            Files.move(next, seedsFile, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        timeline.follow(
                member.name + "#" + post.number(),
                door,
                () -> member.process == null || !member.process.isDone() || member.lives());
    }

    @Override
    public void started(Post post, CompletableFuture<Process> process) {
        Member member = members.get(post.number());
        member.process = process;
        process.thenAccept(
                started ->
                        started.onExit()
                                .thenRun(
                                        () -> {
                                            member.endedAt = timeline.now();
                                            say(member.name + " ended");
                                        }));
    }

    private void say(String what) {
        events.add(String.format(Locale.ROOT, "%.1f s: %s", timeline.now(), what));
    }

    @Override
    public void begun(SocketWorld.Standstill told) {
        standstill = told;
        double before = timeline.now();
        timeline.begin();
        members.values().forEach(member -> member.startedAt -= before);
        Random random = new Random(seed);
        for (DrillPlan.LinkFault fault : plan.faults()) {
            long draw = random.nextLong();
            director.schedule(
                    () -> strike(fault, new Random(draw)),
                    Math.round(fault.at() * 1000),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void strike(DrillPlan.LinkFault fault, Random random) {
        List<Member> all =
                new ArrayList<>(
                        new TreeMap<>(members)
                                .values().stream()
                                        .filter(Member::lives)
                                        .filter(
                                                member ->
                                                        fault.zone() == null
                                                                || member.zone.equals(fault.zone()))
                                        .toList());
        if (fault.zone() == null && fault.part() > 0) {
            Collections.shuffle(all, random);
            all = all.subList(0, (int) Math.max(1, Math.round(all.size() * fault.part())));
        }
        List<Member> chosen = List.copyOf(all);
        List<String> names = chosen.stream().map(member -> member.name).toList();
        Links.Trouble trouble =
                new Links.Trouble(
                        fault.kind(),
                        chosen.stream().map(member -> member.address).toList(),
                        fault.value());
        String what =
                fault.kind().name().toLowerCase(Locale.ROOT)
                        + " of "
                        + (names.size() > 6
                                ? names.size() + " processes"
                                : String.join(", ", names));
        double from = timeline.now();
        say(what + " begins");
        if (fault.kind() == DrillPlan.Kind.PAUSE) {
            chosen.forEach(member -> pause(member, true));
        } else {
            links.begin(trouble);
        }
        struck.add(new DrillOutcome.Struck(fault.kind(), names, from, from + fault.lasts()));
        director.schedule(
                () -> {
                    if (fault.kind() == DrillPlan.Kind.PAUSE) {
                        chosen.forEach(member -> pause(member, false));
                    } else {
                        links.end(trouble);
                    }
                    say(what + " ends");
                },
                Math.round(fault.lasts() * 1000),
                TimeUnit.MILLISECONDS);
    }

    /**
     * A process that stands still cannot answer what it took: that is the drill's doing, not its
     * own.
     */
    private void pause(Member member, boolean begins) {
        standstill.tell(member.number, begins);
        signal(begins ? "STOP" : "CONT", member);
    }

    private void signal(String name, Member member) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(member.process.join().pid()))
                    .start()
                    .waitFor();
        } catch (IOException | InterruptedException e) {
            say("SIG" + name + " could not be sent to " + member.name + ": " + e.getMessage());
        }
    }

    private DrillOutcome outcome(Result day) {
        List<DrillOutcome.Life> lives =
                new TreeMap<>(members)
                        .entrySet().stream()
                                .map(
                                        each ->
                                                new DrillOutcome.Life(
                                                        each.getValue().name,
                                                        each.getValue().name + "#" + each.getKey(),
                                                        each.getValue().startedAt,
                                                        each.getValue().endedAt))
                                .toList();
        return DrillOutcome.of(
                plan, day, lives, List.copyOf(struck), timeline.samples(), List.copyOf(events));
    }

    @Override
    public void close() throws IOException {
        director.shutdownNow();
        timeline.close();
        links.close();
        Files.deleteIfExists(seedsFile);
    }
}
