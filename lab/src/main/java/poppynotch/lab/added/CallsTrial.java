package poppynotch.lab.added;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import poppynotch.lab.socket.Addresses;

/**
 * Measures what sidecars add to calls. The same calls go straight to a quick server and by a
 * sidecar, in turn, so that a drift of the machine falls on both. One thread plays it all; two
 * event loops carry the callers and the servers.
 */
public final class CallsTrial implements AutoCloseable {

    /** Parts of calls whose times are told, with their words in keys. */
    private static final Map<String, Double> QUANTILES = quantiles();

    private static final long TIMEOUT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(ServeConfig.DEADLINE_MS);

    /** A block begins so long after it is made, so that its first call is not late already. */
    private static final long LEAD_NANOS = 20_000_000;

    /**
     * What a caller holds at most; enough for a rate of thousands a second and a stall of some 10
     * ms.
     */
    private static final int MAX_CONNECTIONS = 256;

    private static final int COLD_CALLS = 100;
    private static final double MAX_KNEE_RATE = 128_000;
    private static final int SERVER_ADDRESS_GROUP = 1;
    private static final int FORWARDER_ADDRESS_GROUP = 60;

    /**
     * Groups of addresses for sidecars and their places in a fleet; those of servers lie beside.
     */
    private static final int LISTEN_ADDRESS_GROUP = 50;

    private static final int FLEET_ADDRESS_GROUP = 51;
    private static final int ADMIN_ADDRESS_GROUP = 52;

    private final CallsPlan plan;
    private final MeasuredSidecar.Launcher launcher;
    private final Consumer<String> progress;
    private final CallsOutcome outcome = new CallsOutcome();
    private final SplittableRandom random;
    private final MultiThreadIoEventLoopGroup callers = group("callers");
    private final MultiThreadIoEventLoopGroup servers = group("servers");
    private final EventLoop callerLoop = (EventLoop) callers.next();
    private final EventLoop serverLoop = (EventLoop) servers.next();
    private int processes;

    private CallsTrial(
            CallsPlan plan, MeasuredSidecar.Launcher launcher, Consumer<String> progress) {
        this.plan = plan;
        this.launcher = launcher;
        this.progress = progress;
        random = new SplittableRandom(plan.seed());
    }

    /**
     * Measures all of a plan.
     *
     * @param progress hears a line now and then
     * @throws IOException where a sidecar cannot be started or ends by itself
     */
    public static CallsOutcome play(
            CallsPlan plan, MeasuredSidecar.Launcher launcher, Consumer<String> progress)
            throws IOException {
        try (CallsTrial trial = new CallsTrial(plan, launcher, progress)) {
            for (boolean fleet : plan.fleets()) {
                for (int known : plan.knownWith(fleet)) {
                    trial.measureSidecar(known, fleet);
                }
            }
            if (plan.hops() > 0) {
                trial.measureChain();
            }
            return trial.outcome;
        }
    }

    private static Map<String, Double> quantiles() {
        Map<String, Double> parts = new LinkedHashMap<>();
        parts.put("p50", 0.5);
        parts.put("p99", 0.99);
        parts.put("p999", 0.999);
        return parts;
    }

    private static MultiThreadIoEventLoopGroup group(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    private void reportProgress(String form, Object... values) {
        progress.accept(String.format(Locale.ROOT, form, values));
    }

    /** Where calls of one kind of way go: without sidecars and by them. */
    private record Ways(HttpPool direct, HttpPool by, List<MeasuredSidecar> sidecars) {}

    private void measureSidecar(int known, boolean fleet) throws IOException {
        QuickServer server = new QuickServer(serverLoop, null);
        List<MeasuredSidecar> others = new ArrayList<>();
        DiscoveryStandIn discovery = null;
        try {
            List<InetSocketAddress> addresses = server.listen(SERVER_ADDRESS_GROUP, known);
            discovery = new DiscoveryStandIn(serverLoop, addresses);
            InetSocketAddress seed = fleet ? Addresses.fresh(FLEET_ADDRESS_GROUP, processes) : null;
            for (int i = 0; fleet && i < plan.members(); i++) {
                others.add(launcher.start(config(addresses, discovery, seed, i == 0), false));
            }
            measureStarts(known, fleet, addresses, discovery, seed);
        } finally {
            others.forEach(MeasuredSidecar::close);
            if (discovery != null) {
                discovery.close();
            }
            server.close();
        }
    }

    /** A configuration for a new process; in a fleet the first one is where the others look. */
    private ObjectNode config(
            List<InetSocketAddress> addresses,
            DiscoveryStandIn discovery,
            InetSocketAddress seed,
            boolean first) {
        int number = processes++;
        ObjectNode config =
                ServeConfig.of(
                        "n" + number,
                        Addresses.fresh(LISTEN_ADDRESS_GROUP, number),
                        discovery.address(),
                        addresses,
                        plan.replicas(),
                        random.nextLong());
        if (seed != null) {
            ServeConfig.join(
                    config,
                    first ? seed : Addresses.fresh(FLEET_ADDRESS_GROUP, number),
                    seed,
                    Addresses.fresh(ADMIN_ADDRESS_GROUP, number));
        }
        return config;
    }

    /**
     * Starts the sidecar as often as wanted, each time with its first calls; the last one is
     * measured.
     */
    private void measureStarts(
            int known,
            boolean fleet,
            List<InetSocketAddress> addresses,
            DiscoveryStandIn discovery,
            InetSocketAddress seed)
            throws IOException {
        HttpPool direct = new HttpPool(callerLoop, addresses.get(0), MAX_CONNECTIONS);
        boolean base = known == plan.baseKnown();
        List<Double> ready = new ArrayList<>();
        List<Double> resident = new ArrayList<>();
        List<Block.Pair> first = new ArrayList<>();
        List<PauseLog.Pause> pauses = new ArrayList<>();
        try {
            // Whoever calls is to be warm before the sidecar's first calls are compared with its
            // own.
            playBlock(direct, null, plan.baseRate() * 4, plan.warmUpSeconds(), random.nextLong());
            for (int i = 1; i <= plan.starts(); i++) {
                long mix = random.nextLong();
                // A place of its own each time: the one that ended may be held for a while.
                Block before = base ? playColdCalls(direct, null, mix) : null;
                ObjectNode config = config(addresses, discovery, seed, plan.members() == 0);
                MeasuredSidecar subject = launcher.start(config, true);
                HttpPool by = new HttpPool(callerLoop, subject.address(), MAX_CONNECTIONS);
                try {
                    ready.add(subject.readySeconds());
                    resident.add(subject.residentMb());
                    if (base) {
                        Block cold = playColdCalls(by, subject, mix);
                        countLost(cold);
                        first.add(new Block.Pair(before, cold));
                        pauses.addAll(subject.pauses());
                    }
                    if (i == plan.starts()) {
                        recordStarts(known, fleet, ready, resident);
                        recordColdCalls(known, fleet, first, pauses);
                        measureRates(known, fleet, new Ways(direct, by, List.of(subject)));
                        recordMembers(known, config);
                    }
                } finally {
                    close(by);
                    subject.close();
                }
            }
        } finally {
            close(direct);
        }
    }

    private Block playColdCalls(HttpPool pool, MeasuredSidecar subject, long mix)
            throws IOException {
        return playBlock(pool, subject, plan.baseRate(), COLD_CALLS / plan.baseRate(), mix);
    }

    private void close(HttpPool pool) {
        callerLoop.submit(pool::reset).awaitUninterruptibly();
    }

    private static String startKey(int known, boolean fleet) {
        return "start.known" + known + (fleet ? ".fleet_on" : "");
    }

    private void recordStarts(int known, boolean fleet, List<Double> ready, List<Double> resident) {
        String key = startKey(known, fleet);
        Estimate took = Estimate.of(ready);
        Estimate held = Estimate.of(resident);
        outcome.add(key + ".ready", "s", known, took, "from the start of the process");
        outcome.add(key + ".rss", "MB", known, held, "at the time when it is ready");
        reportProgress("%s: ready after %s s, with %s MB", key, took.text(), held.text());
    }

    /** The first calls after a start, by starts; none were played where the list is empty. */
    private void recordColdCalls(
            int known, boolean fleet, List<Block.Pair> first, List<PauseLog.Pause> pauses) {
        if (first.isEmpty()) {
            return;
        }
        String key = "calls.cold.first" + COLD_CALLS + (fleet ? ".fleet_on" : "");
        List<Estimate.Pair> calls = first.stream().map(Block.Pair::calls).toList();
        Map<String, Estimate> figures = new LinkedHashMap<>();
        QUANTILES.forEach(
                (word, part) ->
                        Estimate.added(calls, part)
                                .ifPresent(added -> figures.put("added." + word, added)));
        figures.putAll(Causes.of(first, pauses, plan.targetMs()));
        // The sidecar was not there yet while these calls went without it.
        figures.remove("cause.cpu.idle");
        figures.forEach(
                (name, value) ->
                        outcome.add(
                                key + "." + name,
                                Causes.unit(name),
                                known,
                                value,
                                Causes.description(name)));
        reportProgress(
                "%s: added p50 %s, p99 %s ms, %s ms of processor a call",
                key,
                text(figures.get("added.p50")),
                text(figures.get("added.p99")),
                figures.get("cpu").text());
    }

    /** How many members the measured sidecar saw at the end, where it is in a fleet. */
    private void recordMembers(int known, ObjectNode config) {
        if (config.has("fleet")) {
            int present = AdminClient.present(config.get("management").asText());
            outcome.add(
                    "calls.known" + known + ".fleet_on.members",
                    "count",
                    known,
                    Estimate.of(List.of((double) present)),
                    "present, as the measured sidecar saw them");
            if (present != plan.members() + 1) {
                outcome.note(
                        String.format(
                                Locale.ROOT,
                                "known %d in a fleet: the sidecar saw %d members, and not %d: the"
                                        + " fleet's figures are not those of a whole fleet",
                                known,
                                present,
                                plan.members() + 1));
            }
        }
    }

    private void measureRates(int known, boolean fleet, Ways ways) throws IOException {
        MeasuredSidecar subject = ways.sidecars().get(0);
        double holds = 0;
        String why = "";
        for (double rate : plan.ratesAt(known, fleet)) {
            CallsOutcome.Phase phase = CallsOutcome.Phase.of(rate, known, fleet);
            List<Block.Pair> pairs = playPairs(ways, rate, phase.key());
            Map<String, Estimate> figures = quantiles(pairs, phase.key());
            figures.putAll(Causes.of(pairs, subject.pauses(), plan.targetMs()));
            figures.forEach(
                    (name, value) ->
                            outcome.add(
                                    phase.key() + "." + name,
                                    Causes.unit(name),
                                    known,
                                    value,
                                    Causes.description(name)));
            recordCounts(phase.key(), known, pairs);
            outcome.add(phase, figures, sum(pairs, true), sum(pairs, false));
            reportProgress(
                    "%s: added p50 %s, p99 %s ms, %s ms of processor a call",
                    phase.key(),
                    text(figures.get("added.p50")),
                    text(figures.get("added.p99")),
                    figures.get("cpu").text());
            List<String> names = Causes.pauseSummaries(pairs, subject.pauses());
            outcome.note(
                    phase.key()
                            + ": safepoints of the sidecar: "
                            + (names.isEmpty() ? "none" : String.join(", ", names)));
            String fault =
                    pairs.stream()
                            .map(this::failureOf)
                            .flatMap(Optional::stream)
                            .findFirst()
                            .orElse("");
            if (fault.isEmpty()) {
                holds = Math.max(holds, rate);
            } else {
                why = fault;
                reportProgress("%s does not hold: %s", phase.key(), fault);
            }
        }
        boolean base = known == plan.baseKnown() && fleet == plan.fleets().get(0);
        if (plan.knee() && base) {
            measureKnee(known, fleet, ways, holds, why);
        }
        outcome.add(
                startKey(known, fleet) + ".rss_loaded",
                "MB",
                known,
                Estimate.of(List.of(subject.residentMb())),
                "after all calls");
    }

    private static String text(Estimate estimate) {
        return estimate == null ? "(too few calls)" : estimate.text();
    }

    /**
     * Blocks each way in turn; which comes first is drawn. Those that only warm up are told apart.
     */
    private List<Block.Pair> playPairs(Ways ways, double rate, String key) throws IOException {
        Block.Pair warmUp = playPair(ways, rate, plan.warmUpSeconds());
        Estimate.added(List.of(warmUp.calls()), QUANTILES.get("p50"))
                .ifPresent(
                        added ->
                                outcome.note(
                                        String.format(
                                                Locale.ROOT,
                                                "%s: the warm-up of %.1f s, which does not count,"
                                                        + " had p50 added %.3f ms",
                                                key,
                                                plan.warmUpSeconds(),
                                                added.value())));
        List<Block.Pair> pairs = new ArrayList<>();
        for (int i = 0; i < plan.pairs(); i++) {
            reportProgress("%s: %d of %d", key, i + 1, plan.pairs());
            Block.Pair pair = playPair(ways, rate, plan.blockSeconds());
            countLost(pair.direct());
            countLost(pair.by());
            pairs.add(pair);
        }
        return pairs;
    }

    private void countLost(Block block) {
        outcome.lost(block.calls().refused() + block.calls().failed());
    }

    private Block.Pair playPair(Ways ways, double rate, double seconds) throws IOException {
        long mix = random.nextLong();
        MeasuredSidecar subject = ways.sidecars().get(0);
        if (random.nextBoolean()) {
            Block direct = playBlock(ways.direct(), subject, rate, seconds, mix);
            return new Block.Pair(direct, playBlock(ways.by(), subject, rate, seconds, mix));
        }
        Block by = playBlock(ways.by(), subject, rate, seconds, mix);
        return new Block.Pair(playBlock(ways.direct(), subject, rate, seconds, mix), by);
    }

    /**
     * Plays a block; {@code watched} is the sidecar whose threads are looked at, or null for none.
     */
    private Block playBlock(
            HttpPool pool, MeasuredSidecar watched, double rate, double seconds, long mix)
            throws IOException {
        if (watched != null && !watched.lives()) {
            throw new IOException("the sidecar ended by itself");
        }
        ThreadTimes before = watched == null ? ThreadTimes.none() : watched.threads();
        Schedule schedule = Schedule.lasting(System.nanoTime() + LEAD_NANOS, rate, seconds);
        Recorder calls =
                OpenLoop.play(
                        schedule,
                        new CallMix(mix),
                        TIMEOUT_NANOS,
                        OpenLoop.Pace.REAL,
                        (call, deadline, ended) ->
                                pool.loop().execute(() -> pool.send(call, deadline, ended)));
        await(calls, pool);
        long over = System.nanoTime();
        ThreadTimes after = watched == null ? ThreadTimes.none() : watched.threads();
        return new Block(calls, after.since(before), schedule.at(0), over);
    }

    private static void await(Recorder calls, HttpPool pool) throws IOException {
        try {
            try {
                calls.done().get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                // What is not answered by now has failed; its connections are of no use any more.
                pool.loop().submit(pool::reset).awaitUninterruptibly();
                calls.done().get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
            }
        } catch (TimeoutException e) {
            throw new IOException("calls did not end with their connections", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Quantiles added, and those of both ways; one for which a block has too few calls is left out.
     */
    private Map<String, Estimate> quantiles(List<Block.Pair> pairs, String key) {
        List<Estimate.Pair> calls = pairs.stream().map(Block.Pair::calls).toList();
        Map<String, Estimate> figures = new LinkedHashMap<>();
        QUANTILES.forEach(
                (word, part) ->
                        Estimate.added(calls, part)
                                .ifPresentOrElse(
                                        added -> {
                                            figures.put("added." + word, added);
                                            figures.put(
                                                    "direct." + word,
                                                    Estimate.of(
                                                            calls.stream()
                                                                    .map(
                                                                            pair ->
                                                                                    pair.direct()
                                                                                            .quantileMs(
                                                                                                    part))
                                                                    .toList()));
                                            figures.put(
                                                    "by." + word,
                                                    Estimate.of(
                                                            calls.stream()
                                                                    .map(
                                                                            pair ->
                                                                                    pair.by()
                                                                                            .quantileMs(
                                                                                                    part))
                                                                    .toList()));
                                        },
                                        () ->
                                                outcome.note(
                                                        String.format(
                                                                Locale.ROOT,
                                                                "%s: no %s, as a block of %d calls"
                                                                    + " is too short for it (or too"
                                                                    + " few of them were served)",
                                                                key,
                                                                word,
                                                                calls.get(0)
                                                                        .direct()
                                                                        .schedule()
                                                                        .count()))));
        long draw = random.nextLong();
        QUANTILES.forEach(
                (word, part) ->
                        Estimate.pooled(calls, part, draw)
                                .ifPresent(added -> figures.put("pooled." + word, added)));
        return figures;
    }

    private void recordCounts(String key, int size, List<Block.Pair> pairs) {
        long served = 0;
        long refused = 0;
        long failed = 0;
        for (Block.Pair pair : pairs) {
            served += pair.by().calls().served();
            refused += pair.by().calls().refused();
            failed += pair.by().calls().failed();
        }
        outcome.add(key + ".served", "count", size, Estimate.of(List.of((double) served)), null);
        outcome.add(key + ".refused", "count", size, Estimate.of(List.of((double) refused)), null);
        outcome.add(key + ".failed", "count", size, Estimate.of(List.of((double) failed)), null);
    }

    private static Histogram sum(List<Block.Pair> pairs, boolean direct) {
        Histogram sum = Recorder.empty();
        pairs.forEach(pair -> sum.add((direct ? pair.direct() : pair.by()).calls().times()));
        return sum;
    }

    /** Why a rate does not hold, or nothing where it does. */
    private Optional<String> failureOf(Block.Pair pair) {
        Recorder direct = pair.direct().calls();
        Recorder by = pair.by().calls();
        if (direct.served() < direct.schedule().count()
                || direct.quantileMs(0.99) > plan.boundMs()) {
            return Optional.of("callers or the server do not hold it without a sidecar either");
        }
        if (by.served() < by.schedule().count()) {
            return Optional.of("calls were refused or failed");
        }
        double added = by.quantileMs(0.99) - direct.quantileMs(0.99);
        return added <= plan.boundMs()
                ? Optional.empty()
                : Optional.of(
                        String.format(Locale.ROOT, "the 99th percentile added was %.1f ms", added));
    }

    private void measureKnee(int known, boolean fleet, Ways ways, double held, String fault)
            throws IOException {
        double holds = held;
        String why = fault;
        double rate = plan.rates().stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        while (why.isEmpty()) {
            rate *= 2;
            if (rate > MAX_KNEE_RATE) {
                why = "it is the highest rate that is tried";
                break;
            }
            why = failureOf(playPair(ways, rate, plan.kneeSeconds())).orElse("");
            if (why.isEmpty()) {
                holds = rate;
            }
            reportProgress(
                    "knee: %.0f a second %s",
                    rate, why.isEmpty() ? "holds" : "does not hold: " + why);
        }
        if (holds > 0) {
            outcome.add(
                    "calls.knee.known" + known + "." + CallsOutcome.word(fleet) + ".rate",
                    "1/s",
                    known,
                    Estimate.of(List.of(holds)),
                    "the last that holds; the next: " + why);
        } else {
            outcome.note("knee: no rate holds: " + why);
        }
    }

    /** The same calls by as many servers in a row, straight and with a sidecar before each. */
    private void measureChain() throws IOException {
        String key = "chain.hops" + plan.hops();
        List<QuickServer> stands = new ArrayList<>();
        List<DiscoveryStandIn> discoveries = new ArrayList<>();
        List<MeasuredSidecar> sidecars = new ArrayList<>();
        HttpPool direct = null;
        HttpPool by = null;
        try {
            InetSocketAddress nextDirect = null;
            InetSocketAddress nextBy = null;
            reportProgress("%s: starting %d sidecars", key, plan.hops());
            // From the last one on, as each has to know what is behind it.
            for (int i = plan.hops(); i > 0; i--) {
                nextDirect = forwarder(stands, nextDirect);
                List<InetSocketAddress> behind = List.of(forwarder(stands, nextBy));
                DiscoveryStandIn discovery = new DiscoveryStandIn(serverLoop, behind);
                discoveries.add(discovery);
                MeasuredSidecar sidecar =
                        launcher.start(config(behind, discovery, null, false), false);
                sidecars.add(0, sidecar);
                nextBy = sidecar.address();
            }
            direct = new HttpPool(callerLoop, nextDirect, MAX_CONNECTIONS);
            by = new HttpPool(callerLoop, nextBy, MAX_CONNECTIONS);
            List<Block.Pair> pairs =
                    playPairs(new Ways(direct, by, sidecars), plan.baseRate(), key);
            Map<String, Estimate> figures = quantiles(pairs, key);
            figures.forEach(
                    (name, value) ->
                            outcome.add(
                                    key + "." + name,
                                    "ms",
                                    plan.hops(),
                                    value,
                                    "at "
                                            + CallsOutcome.number(plan.baseRate())
                                            + " calls a second, of the whole chain"));
            recordCounts(key, plan.hops(), pairs);
            reportProgress(
                    "%s: added p50 %s, p99 %s ms",
                    key, text(figures.get("added.p50")), text(figures.get("added.p99")));
        } finally {
            if (direct != null) {
                close(direct);
            }
            if (by != null) {
                close(by);
            }
            sidecars.forEach(MeasuredSidecar::close);
            discoveries.forEach(DiscoveryStandIn::close);
            stands.forEach(QuickServer::close);
        }
    }

    /** A server of the chain; the last one, which has nothing behind it, answers by itself. */
    private InetSocketAddress forwarder(List<QuickServer> stands, InetSocketAddress behind) {
        QuickServer server =
                new QuickServer(
                        serverLoop,
                        behind == null
                                ? null
                                : new HttpPool(serverLoop, behind, MAX_CONNECTIONS)::send);
        stands.add(server);
        return server.listen(FORWARDER_ADDRESS_GROUP, 1).get(0);
    }

    @Override
    public void close() {
        callers.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        servers.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
