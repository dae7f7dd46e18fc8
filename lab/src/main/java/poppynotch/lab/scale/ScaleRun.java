package poppynotch.lab.scale;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import poppynotch.lab.drill.FleetProcesses.ManagedProcess;
import poppynotch.lab.report.ScaleResults;
import poppynotch.lab.scale.HollowAnswers.Counters;
import poppynotch.lab.scale.HollowAnswers.Stats;
import poppynotch.lab.scale.HollowAnswers.Views;
import poppynotch.lab.scale.ScaleSetup.Phase;

/**
 * Plays the phases of a scale run at one size, on real sockets in real time, and writes down its
 * figures. Times are those of this machine, which all processes share. For one thread.
 */
public final class ScaleRun {

    private static final int LOOK_MS = 50;

    /**
     * How often it is asked who holds a change; a time is late by so much at most, and by the
     * asking.
     */
    private static final int CHANGE_LOOK_MS = 10;

    /** Of an ordinary day at the planned size. */
    private static final int PLANNED_SIZE = 430;

    private static final int PLANNED_RESTARTS = 110;
    private static final int FAILURES = 2;

    /** A dead one is known within 8 s, and is replaced after that. */
    private static final long DEAD_MS = 10_000;

    /** Restarts that may be under way at once; each takes what a leaving member still answers. */
    private static final int HANDS = 8;

    /** Changes to discovery's lists, each there and back. */
    private static final int ROUNDS = 3;

    /**
     * Quiet is a second in which all together send at most so many times what they send when idle.
     */
    private static final double QUIET = 1.5;

    /**
     * Traffic is watched for so long after a fault is over: sidecars lost discovery for up to 5 s.
     */
    private static final long TAIL_MS = 8000;

    private static final String LOST_ZONE = "z2";
    private static final Map<String, String> RIDERS =
            Map.of("s", "sharing", "l", "loans", "r", "release", "d", "duties");
    private static final double NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Something that is waited for. */
    private interface Check {
        boolean holds() throws IOException;
    }

    /** Counters at one moment. */
    private record Mark(
            long nanos,
            Stats stats,
            ListServer.Counts discovery,
            Map<ManagedProcess, Double> cpu,
            Map<ManagedProcess, Map<String, Long>> bytes) {}

    private final ScaleSetup setup;
    private final ScaleFleet fleet;
    private final Figures figures;
    private final Consumer<String> tell;
    private final Random random;
    private Traffic traffic;

    /**
     * Bytes a second of all hollow members together when nothing happens; 0 where that was not
     * played.
     */
    private double idleOfAll;

    private ScaleRun(ScaleSetup setup, ScaleFleet fleet, Figures figures, Consumer<String> tell) {
        this.setup = setup;
        this.fleet = fleet;
        this.figures = figures;
        this.tell = tell;
        random = new Random(setup.seed());
    }

    /**
     * Refuses sizes that this machine must not be asked for.
     *
     * @throws IllegalArgumentException in one line
     * @throws IOException if the machine's memory cannot be read
     */
    public static void check(ScaleSetup setup, List<Integer> sizes) throws IOException {
        int machineMb = Bounds.machineMb();
        for (int size : sizes) {
            Places.of(size);
            Bounds.check(size, setup, machineMb);
        }
    }

    /**
     * Plays one size with processes of its own, which have ended when this returns or throws, also
     * where the lab is ended by a signal. What was measured before a failure is in the results.
     *
     * @param results take the figures
     * @param tell hears how far it is
     * @throws IOException if a process ends, or what is waited for does not come; in one line
     */
    public static void play(ScaleSetup setup, int size, ScaleResults results, Consumer<String> tell)
            throws IOException {
        ScaleFleet fleet =
                new ScaleFleet(setup, Places.of(size), setup.logs().resolve("size-" + size));
        Thread ender = new Thread(fleet::close, "ender");
        Runtime.getRuntime().addShutdownHook(ender);
        try (fleet) {
            new ScaleRun(
                            setup,
                            fleet,
                            new Figures(results, size),
                            line -> tell.accept("size " + size + ": " + line))
                    .play();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            try {
                Runtime.getRuntime().removeShutdownHook(ender);
            } catch (IllegalStateException e) {
                // The lab ends already, and the hook runs.
                tell.accept("size " + size + ": ended");
            }
        }
    }

    private void play() throws IOException, InterruptedException {
        start();
        for (Phase phase : setup.phases()) {
            switch (phase) {
                case IDLE -> idle();
                case CONFIG -> config();
                case DAY -> {
                    day();
                    restarts();
                }
                case RACK -> lose("rack", fleet.places().of(LOST_ZONE, 1));
                case ZONE ->
                        lose(
                                "zone",
                                fleet.places().members().stream()
                                        .filter(member -> member.zone().equals(LOST_ZONE))
                                        .toList());
                case REGION -> region();
                default -> {
                    // The start is played in any case.
                }
            }
        }
    }

    // ---- waiting ----

    private static double since(long nanos) {
        return (System.nanoTime() - nanos) / NANOS;
    }

    private void step(String text, Object... parts) {
        tell.accept(String.format(Locale.ROOT, text, parts));
    }

    /** Waits, and gives the seconds since a moment. */
    private double await(String what, long fromNanos, int lookMs, Check check)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + setup.patience().toNanos();
        while (!check.holds()) {
            look();
            if (System.nanoTime() > until) {
                throw new IOException(
                        what
                                + ": not seen within "
                                + setup.patience().toSeconds()
                                + " s; present should be "
                                + fleet.present()
                                + ", hollow members see "
                                + fleet.views());
            }
            TimeUnit.MILLISECONDS.sleep(lookMs);
        }
        return since(fromNanos);
    }

    private void look() throws IOException {
        String ended = fleet.ended();
        if (ended != null) {
            throw new IOException(ended);
        }
        if (traffic != null) {
            traffic.lookIfDue(fleet);
        }
    }

    private void pass(long ms) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < until) {
            look();
            long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            TimeUnit.MILLISECONDS.sleep(Math.max(1, Math.min(LOOK_MS, left)));
        }
    }

    private double oneView(String key, long fromNanos) throws IOException, InterruptedException {
        double took = await("one view", fromNanos, LOOK_MS, fleet::isOneView);
        figures.add(key + ".fleet.one_view", "s", took);
        step("%s: one view of %d members after %.1f s", key, fleet.present(), took);
        return took;
    }

    private void watchTraffic() throws IOException {
        fleet.discovery().forgetPeak();
        traffic = new Traffic();
        traffic.lookIfDue(fleet);
    }

    /**
     * Writes down what was sent since {@link #watchTraffic}, and when it was as little again as
     * before.
     */
    private void traffic(String key, long fromNanos) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TAIL_MS);
        boolean quiet = false;
        while (System.nanoTime() < until) {
            pass(LOOK_MS);
            if (!quiet && traffic.lastOfAll() <= QUIET * idleOfAll) {
                quiet = true;
                figures.add(
                        key + ".fleet.quiet",
                        "s",
                        since(fromNanos),
                        "until all hollow members together"
                                + " sent, in a second, at most "
                                + QUIET
                                + " times what they send when idle");
            }
        }
        if (!quiet && idleOfAll > 0) {
            step("%s: not quiet %d s after one view", key, TAIL_MS / 1000);
        }
        figures.peak(key + ".sidecar.bytes_out.peak", "B/s", traffic.worst().values());
        figures.add(
                key + ".fleet.bytes_out.peak",
                "B/s",
                traffic.worstOfAll(),
                "all hollow members together");
        figures.add(
                key + ".discovery.requests.peak",
                "1/s",
                (double) fleet.discovery().counts().peak());
        traffic = null;
    }

    // ---- counters ----

    /**
     * The first mark of a time: doors are asked before processor time counts, as answering costs
     * some.
     */
    private Mark begin() throws IOException {
        Map<ManagedProcess, Map<String, Long>> bytes = bytes();
        Stats stats = fleet.stats();
        return new Mark(System.nanoTime(), stats, fleet.discovery().counts(), cpu(), bytes);
    }

    /** The last mark of a time: doors are asked when processor time counts no more. */
    private Mark end() throws IOException {
        Map<ManagedProcess, Double> cpu = cpu();
        ListServer.Counts discovery = fleet.discovery().counts();
        long nanos = System.nanoTime();
        return new Mark(nanos, fleet.stats(), discovery, cpu, bytes());
    }

    private List<ManagedProcess> real() {
        List<ManagedProcess> all = new ArrayList<>(fleet.real());
        all.addAll(fleet.plain());
        all.addAll(fleet.keepers());
        return all;
    }

    private Map<ManagedProcess, Double> cpu() {
        Map<ManagedProcess, Double> cpu = new LinkedHashMap<>();
        real().forEach(
                        part ->
                                cpu.put(
                                        part,
                                        part.process()
                                                .info()
                                                .totalCpuDuration()
                                                .map(time -> time.toNanos() / NANOS)
                                                .orElse(0.0)));
        return cpu;
    }

    private Map<ManagedProcess, Map<String, Long>> bytes() throws IOException {
        Map<ManagedProcess, Map<String, Long>> bytes = new LinkedHashMap<>();
        for (ManagedProcess part : real()) {
            bytes.put(part, ScaleFleet.bytes(part));
        }
        return bytes;
    }

    /** The figures of all roles between two marks. */
    private void figures(String phase, Mark from, Mark to) {
        double seconds = (to.nanos() - from.nanos()) / NANOS;
        Map<String, Counters> before = from.stats().members();
        // Who was started anew has counted anew: the others are enough.
        List<Counters> stayed =
                to.stats().members().values().stream()
                        .filter(
                                member ->
                                        before.containsKey(member.name())
                                                && before.get(member.name()).datagramsOut()
                                                        <= member.datagramsOut())
                        .toList();
        Map<String, ToDoubleFunction<Counters>> rates = new TreeMap<>();
        rates.put("sidecar.bytes_out", Counters::bytesOut);
        rates.put("sidecar.bytes_in", Counters::bytesIn);
        rates.put("sidecar.bytes_out_far", Counters::bytesOutFar);
        RIDERS.forEach(
                (letter, name) ->
                        rates.put(
                                name + ".bytes_out",
                                member -> member.riders().getOrDefault(letter, 0L)));
        rates.put(
                "membership.bytes_out",
                member ->
                        member.bytesOut()
                                - member.riders().values().stream()
                                        .mapToLong(Long::longValue)
                                        .sum());
        Set<String> wanting = new HashSet<>();
        fleet.places().members().stream()
                .filter(fleet::wantsDuty)
                .forEach(member -> wanting.add(member.name()));
        rates.forEach(
                (name, count) ->
                        figures.spread(
                                phase + "." + name,
                                "B/s",
                                stayed.stream()
                                        .filter(
                                                member ->
                                                        !name.startsWith("duties")
                                                                || wanting.contains(member.name()))
                                        .map(
                                                member ->
                                                        (count.applyAsDouble(member)
                                                                        - count.applyAsDouble(
                                                                                before.get(
                                                                                        member
                                                                                                .name())))
                                                                / seconds)
                                        .toList()));
        Map<String, ToDoubleFunction<Counters>> messages =
                Map.of(
                        "sidecar.messages_out",
                        Counters::datagramsOut,
                        "sidecar.messages_in",
                        Counters::datagramsIn);
        messages.forEach(
                (name, count) ->
                        figures.spread(
                                phase + "." + name,
                                "1/s",
                                stayed.stream()
                                        .map(
                                                member ->
                                                        (count.applyAsDouble(member)
                                                                        - count.applyAsDouble(
                                                                                before.get(
                                                                                        member
                                                                                                .name())))
                                                                / seconds)
                                        .toList()));
        figures.add(
                phase + ".sidecar.core",
                "core",
                (to.stats().cpuSeconds() - from.stats().cpuSeconds())
                        / seconds
                        / fleet.runningHollow(),
                "processor time of the hollow processes by their members");
        Map<String, List<ManagedProcess>> roles =
                Map.of("real", fleet.real(), "plain", fleet.plain(), "keeper", fleet.keepers());
        roles.forEach(
                (name, parts) -> {
                    figures.spread(
                            phase + "." + name + ".core",
                            "core",
                            parts.stream()
                                    .map(
                                            part ->
                                                    (to.cpu().get(part) - from.cpu().get(part))
                                                            / seconds)
                                    .toList());
                    figures.spread(
                            phase + "." + name + ".rss",
                            "MB",
                            parts.stream()
                                    .map(part -> Bounds.residentMb(part.process().pid()))
                                    .toList());
                    for (String way : List.of("bytes_out", "bytes_in")) {
                        figures.spread(
                                phase + "." + name + "." + way,
                                "B/s",
                                parts.stream()
                                        .filter(
                                                part ->
                                                        to.bytes().get(part).containsKey(way)
                                                                && from.bytes()
                                                                        .get(part)
                                                                        .containsKey(way))
                                        .map(
                                                part ->
                                                        (to.bytes().get(part).get(way)
                                                                        - from.bytes()
                                                                                .get(part)
                                                                                .get(way))
                                                                / seconds)
                                        .toList());
                    }
                });
        figures.add(
                phase + ".discovery.requests",
                "1/s",
                (to.discovery().requests() - from.discovery().requests()) / seconds);
        figures.add(
                phase + ".discovery.bytes_out",
                "B/s",
                (to.discovery().bytesOut() - from.discovery().bytesOut()) / seconds);
        figures.add(
                phase + ".discovery.bytes_in",
                "B/s",
                (to.discovery().bytesIn() - from.discovery().bytesIn()) / seconds);
        figures.add(phase + ".discovery.watches", "count", to.discovery().watches());
        figures.add(phase + ".discovery.connections", "count", to.discovery().open());
    }

    // ---- phases ----

    private void start() throws IOException, InterruptedException {
        long from = System.nanoTime();
        step(
                "start: %d hollow members, %d real sidecars, %d without a fleet, %d keepers",
                fleet.places().members().size(), setup.real(), setup.plain(), setup.keepers());
        fleet.begin();
        Map<ManagedProcess, Double> ready = new LinkedHashMap<>();
        await(
                "all processes listen",
                from,
                LOOK_MS,
                () -> {
                    boolean all = fleet.hollowBegun();
                    for (ManagedProcess part : fleet.real()) {
                        if (!ready.containsKey(part) && part.askAdmin("status").equals("done")) {
                            ready.put(part, since(from));
                        }
                    }
                    return all && ready.size() == fleet.real().size();
                });
        figures.spread("start.real.ready", "s", ready.values());
        oneView("start", from);
        if (setup.keepers() > 0) {
            await("a keeper leads", from, LOOK_MS, fleet::isLed);
        }
        pass(setup.settle().toMillis());
    }

    private void idle() throws IOException, InterruptedException {
        step("idle: %d s in which nothing happens", setup.idle().toSeconds());
        Mark from = begin();
        pass(setup.idle().toMillis());
        Mark to = end();
        figures("idle", from, to);
        double seconds = (to.nanos() - from.nanos()) / NANOS;
        idleOfAll =
                to.stats().members().values().stream().mapToDouble(Counters::bytesOut).sum()
                                / seconds
                        - from.stats().members().values().stream()
                                        .mapToDouble(Counters::bytesOut)
                                        .sum()
                                / seconds;
        figures.add("idle.fleet.bytes_out", "B/s", idleOfAll, "all hollow members together");
        List<Counters> members = List.copyOf(to.stats().members().values());
        figures.spread(
                "idle.sidecar.members",
                "count",
                members.stream().map(m -> (double) m.heldMembers()).toList());
        figures.spread(
                "idle.sidecar.sightings",
                "count",
                members.stream().map(m -> (double) m.heldSightings()).toList());
        figures.spread(
                "idle.sidecar.servers",
                "count",
                members.stream().map(m -> (double) m.heldServers()).toList());
        figures.add(
                "idle.hollow.heap",
                "MB",
                fleet.heldMb() / fleet.runningHollow(),
                "heap of the hollow processes after a collection, by their members");
    }

    private void config() throws IOException, InterruptedException {
        Places places = fleet.places();
        Places.Member first = places.members().get(0);
        lists(
                "config.discovery_one",
                Map.of(first.service(), List.of(first.name())),
                places.callers(first.service()));
        lists("config.discovery", oneOfEach(), places.members().size());
        if (!fleet.real().isEmpty()) {
            settings();
        }
    }

    /** One nodo of each service. */
    private Map<Integer, List<String>> oneOfEach() {
        Map<Integer, List<String>> all = new TreeMap<>();
        fleet.places()
                .members()
                .forEach(member -> all.putIfAbsent(member.service(), List.of(member.name())));
        return all;
    }

    private void settings() throws IOException, InterruptedException {
        List<Double> seconds = new ArrayList<>();
        for (int by = 1; by >= 0; by--) {
            Map<ManagedProcess, Long> before = new LinkedHashMap<>();
            for (ManagedProcess part : fleet.real()) {
                before.put(part, taken(part));
            }
            long from = System.nanoTime();
            fleet.changeSettings(by);
            Set<ManagedProcess> done = new HashSet<>();
            await(
                    "the real sidecars take up new settings",
                    from,
                    CHANGE_LOOK_MS,
                    () -> {
                        for (ManagedProcess part : fleet.real()) {
                            if (!done.contains(part) && taken(part) > before.get(part)) {
                                done.add(part);
                                seconds.add(since(from));
                            }
                        }
                        return done.size() == fleet.real().size();
                    });
        }
        figures.times(
                "config.settings.real",
                seconds,
                "a file for each of them and SIGHUP, in turn; without"
                        + " the platform's way of carrying the file there");
        step(
                "config: settings by file and SIGHUP in force at %d real sidecars after %.2f s",
                fleet.real().size(), Collections.max(seconds));
    }

    private static long taken(ManagedProcess part) throws IOException {
        return part.log().lines().filter(line -> line.contains(ScaleFleet.TAKEN_UP)).count();
    }

    /**
     * Changes lists of discovery there and back, and measures until all who call these services
     * know.
     */
    private void lists(String key, Map<Integer, List<String>> ids, long callers)
            throws IOException, InterruptedException {
        List<Double> seconds = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (ListServer.Phase phase :
                    List.of(ListServer.Phase.TERMINATING, ListServer.Phase.IN_SERVICE)) {
                long from = System.nanoTime();
                long version = fleet.discovery().change(ids, phase);
                int[] seen = new int[1];
                await(
                        "version " + version + " of discovery's lists is held by " + callers,
                        from,
                        CHANGE_LOOK_MS,
                        () -> {
                            Views views = fleet.views();
                            double now = since(from);
                            int held = views.versions().getOrDefault(version, 0);
                            seconds.addAll(Collections.nCopies(Math.max(0, held - seen[0]), now));
                            seen[0] = Math.max(held, seen[0]);
                            return seen[0] >= callers;
                        });
            }
        }
        figures.times(
                key,
                seconds,
                "a list's change until a hollow member holds it, looked at each "
                        + CHANGE_LOOK_MS
                        + " ms and the asking");
        step(
                "config: %d services' lists changed, held by %d after %.2f s at most",
                ids.size(), callers, Collections.max(seconds));
    }

    private int restartsOfADay() {
        return Math.max(1, fleet.places().members().size() * PLANNED_RESTARTS / PLANNED_SIZE);
    }

    private List<Places.Member> drawn() {
        List<Places.Member> drawn = new ArrayList<>(fleet.places().members());
        Collections.shuffle(drawn, random);
        return drawn;
    }

    /** Something of the day that is done at its time. */
    private record Event(long atMs, Task task) {}

    /** What is done; beside others. */
    private interface Task {
        void run() throws IOException;
    }

    private void list(Places.Member member, ListServer.Phase phase) throws IOException {
        fleet.discovery().change(Map.of(member.service(), List.of(member.name())), phase);
    }

    private void day() throws IOException, InterruptedException {
        int restarts = restartsOfADay();
        long dayMs = setup.day().toMillis();
        step("day: %d failures and %d restarts in %d s", FAILURES, restarts, dayMs / 1000);
        List<Places.Member> drawn = drawn();
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < FAILURES; i++) {
            Places.Member dead = drawn.get(i);
            long at = dayMs * (i + 1) / (FAILURES + 2);
            events.add(
                    new Event(
                            at,
                            () -> {
                                fleet.kill(List.of(dead.name()));
                                list(dead, ListServer.Phase.TERMINATING);
                            }));
            events.add(
                    new Event(
                            at + DEAD_MS,
                            () -> {
                                fleet.startMembers(List.of(dead.name()));
                                list(dead, ListServer.Phase.IN_SERVICE);
                            }));
        }
        for (int i = 0; i < restarts; i++) {
            Places.Member one = drawn.get((FAILURES + i) % drawn.size());
            events.add(
                    new Event(
                            dayMs * i / restarts,
                            () -> {
                                list(one, ListServer.Phase.TERMINATING);
                                fleet.leave(List.of(one.name()));
                                fleet.startMembers(List.of(one.name()));
                                list(one, ListServer.Phase.IN_SERVICE);
                            }));
        }
        events.sort(Comparator.comparingLong(Event::atMs));
        watchTraffic();
        Mark from = begin();
        ConcurrentLinkedQueue<IOException> failures = new ConcurrentLinkedQueue<>();
        ExecutorService hands =
                Executors.newFixedThreadPool(HANDS, new DefaultThreadFactory("day", true));
        long last;
        try {
            for (Event event : events) {
                pass(
                        event.atMs()
                                - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from.nanos()));
                hands.execute(
                        () -> {
                            try {
                                event.task().run();
                            } catch (IOException e) {
                                failures.add(e);
                            }
                        });
            }
            pass(dayMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from.nanos()));
            hands.shutdown();
            await("the day's restarts are over", from.nanos(), LOOK_MS, hands::isTerminated);
            last = System.nanoTime();
        } finally {
            hands.shutdownNow();
        }
        if (!failures.isEmpty()) {
            throw failures.peek();
        }
        figures("day", from, end());
        figures.add("day.fleet.restarts", "count", restarts);
        figures.add("day.fleet.failures", "count", FAILURES);
        figures.add("day.discovery.changes", "count", 2.0 * (restarts + FAILURES));
        oneView("day", last);
        traffic("day", last);
    }

    private void restarts() throws IOException, InterruptedException {
        List<String> names =
                drawn().stream().limit(restartsOfADay()).map(Places.Member::name).toList();
        watchTraffic();
        long from = System.nanoTime();
        fleet.restart(names);
        figures.add("restart110.fleet.restarts", "count", names.size());
        figures.add(
                "restart110.fleet.started", "s", since(from), "until the last was told to start");
        step("restart110: %d killed and started at once", names.size());
        oneView("restart110", from);
        traffic("restart110", from);
    }

    private void lose(String key, List<Places.Member> lost)
            throws IOException, InterruptedException {
        List<String> names = lost.stream().map(Places.Member::name).toList();
        watchTraffic();
        long from = System.nanoTime();
        fleet.kill(names);
        figures.add(key + ".fleet.lost", "count", names.size());
        double gone =
                await(
                        "all see that the " + key + " is gone",
                        from,
                        LOOK_MS,
                        fleet::allSeeWhoIsThere);
        figures.add(
                key + ".fleet.gone",
                "s",
                gone,
                "from the kill until nobody sees any of them present");
        step("%s: %d lost, not present to anybody after %.1f s", key, names.size(), gone);
        long back = System.nanoTime();
        fleet.startMembers(names);
        oneView(key, back);
        traffic(key, back);
    }

    private void region() throws IOException, InterruptedException {
        List<String> regions = List.copyOf(Places.REGIONS.keySet());
        String near = regions.get(0);
        String far = regions.get(1);
        step(
                "region: %s and %s apart for %d s, which stand for an hour",
                near, far, setup.regionCut().toSeconds());
        long from = System.nanoTime();
        fleet.tellAll("cut " + near + " " + far);
        fleet.tellAll("cut " + far + " " + near);
        fleet.discovery().cut(far, true);
        pass(setup.regionCut().toMillis());
        Stats apart = fleet.stats();
        for (String region : regions) {
            Set<String> inside = new HashSet<>();
            fleet.places().members().stream()
                    .filter(member -> Places.region(member.zone()).equals(region))
                    .forEach(member -> inside.add(member.name()));
            List<Double> present =
                    apart.members().values().stream()
                            .filter(member -> inside.contains(member.name()))
                            .map(member -> (double) member.present())
                            .toList();
            figures.spread("region." + region + ".present", "count", present);
            step(
                    "region: at the end of the cut a member of %s sees %.0f to %.0f present",
                    region, Collections.min(present), Collections.max(present));
        }
        // The far side hears of this change only when it is back.
        Map<Integer, List<String>> all = oneOfEach();
        long version = fleet.discovery().change(all, ListServer.Phase.TERMINATING);
        watchTraffic();
        fleet.tellAll("mend");
        fleet.discovery().cut(far, false);
        long mended = System.nanoTime();
        figures.add(
                "region.fleet.cut",
                "s",
                (mended - from) / NANOS,
                "shortened: it stands for an hour");
        double[] held = new double[1];
        Check isHeld =
                () -> {
                    if (held[0] == 0
                            && fleet.views().versions().getOrDefault(version, 0)
                                    == fleet.runningHollow()) {
                        held[0] = since(mended);
                    }
                    return held[0] > 0;
                };
        double took =
                await(
                        "one view after the cut",
                        mended,
                        LOOK_MS,
                        () -> {
                            isHeld.holds();
                            return fleet.isOneView();
                        });
        figures.add("region.fleet.one_view", "s", took);
        await("discovery's news of the time apart is held by all", mended, LOOK_MS, isHeld);
        figures.add(
                "region.discovery.last",
                "s",
                held[0],
                "from the mending until all hollow members hold"
                        + " what changed while they were apart");
        step(
                "region: one view of %d members %.1f s after mending, discovery's news with all"
                        + " after %.1f s",
                fleet.present(), took, held[0]);
        traffic("region", mended);
        fleet.discovery().change(all, ListServer.Phase.IN_SERVICE);
    }
}
