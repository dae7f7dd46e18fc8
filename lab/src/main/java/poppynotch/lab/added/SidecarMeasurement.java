package poppynotch.lab.added;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Measures what one sidecar, which knows so many servers, adds to calls: its starts and first
 * calls, all rates of the plan and the knee. For the thread of the trial; it closes all that it
 * starts.
 */
final class SidecarMeasurement {

    private static final int SERVER_ADDRESS_GROUP = 1;
    private static final int COLD_CALLS = 100;

    /** What is gathered over several starts. */
    private static final class Starts {
        final List<Double> readySeconds = new ArrayList<>();
        final List<Double> residentMb = new ArrayList<>();

        /** The first calls after each start; empty where they are not played. */
        final List<Block.Pair> coldCalls = new ArrayList<>();

        final List<PauseLog.Pause> pauses = new ArrayList<>();
    }

    private final TrialEnvironment env;
    private final int known;
    private final boolean fleet;
    private final BlockPlayer player;
    private final AddedTimeFigures figures;
    private final KneeSearch knee;

    /**
     * A measurement to be made.
     *
     * @param known servers that the sidecar knows
     * @param fleet whether it takes part in a fleet
     */
    SidecarMeasurement(TrialEnvironment env, int known, boolean fleet) {
        this.env = env;
        this.known = known;
        this.fleet = fleet;
        player = new BlockPlayer(env);
        figures = new AddedTimeFigures(env);
        knee = new KneeSearch(env, player);
    }

    /**
     * Measures all that the plan has for this sidecar.
     *
     * @throws IOException if a sidecar cannot be started or ends by itself
     */
    void measure() throws IOException {
        QuickServer server = new QuickServer(env.serverLoop(), null);
        List<MeasuredSidecar> others = new ArrayList<>();
        DiscoveryStandIn discovery = null;
        try {
            List<InetSocketAddress> addresses = server.listen(SERVER_ADDRESS_GROUP, known);
            discovery = new DiscoveryStandIn(env.serverLoop(), addresses);
            InetSocketAddress seed = fleet ? env.nextSeed() : null;
            for (int i = 0; fleet && i < env.plan().members(); i++) {
                others.add(
                        env.launcher()
                                .start(env.nextConfig(addresses, discovery, seed, i == 0), false));
            }
            measureStarts(addresses, discovery, seed);
        } finally {
            others.forEach(MeasuredSidecar::close);
            if (discovery != null) {
                discovery.close();
            }
            server.close();
        }
    }

    /**
     * Starts the sidecar as often as the plan has it, each time with its first calls. The last one
     * is measured at all rates.
     */
    private void measureStarts(
            List<InetSocketAddress> addresses, DiscoveryStandIn discovery, InetSocketAddress seed)
            throws IOException {
        CallsPlan plan = env.plan();
        HttpPool direct = env.callerPool(addresses.get(0));
        Starts starts = new Starts();
        try {
            // Callers and servers must be warm, or the first calls of the sidecar would be compared
            // with their own.
            player.playBlock(
                    direct,
                    null,
                    plan.baseRate() * 4,
                    plan.warmUpSeconds(),
                    env.random().nextLong());
            for (int i = 1; i <= plan.starts(); i++) {
                long mix = env.random().nextLong();
                Block before = isBaseKnown() ? playColdCalls(direct, null, mix) : null;
                // An address of its own each time: that of the one before may be in use for a
                // while.
                ObjectNode config = env.nextConfig(addresses, discovery, seed, plan.members() == 0);
                MeasuredSidecar subject = env.launcher().start(config, true);
                HttpPool by = env.callerPool(subject.address());
                try {
                    addStart(starts, subject, by, before, mix);
                    if (i == plan.starts()) {
                        recordStarts(starts);
                        recordColdCalls(starts);
                        measureRates(new BlockPlayer.Ways(direct, by, List.of(subject)));
                        recordMembers(config);
                    }
                } finally {
                    env.close(by);
                    subject.close();
                }
            }
        } finally {
            env.close(direct);
        }
    }

    /** Adds one start; {@code before} are the same first calls without the sidecar, or null. */
    private void addStart(
            Starts starts, MeasuredSidecar subject, HttpPool by, Block before, long mix)
            throws IOException {
        starts.readySeconds.add(subject.readySeconds());
        starts.residentMb.add(subject.residentMb());
        if (before != null) {
            Block cold = playColdCalls(by, subject, mix);
            player.countLost(cold);
            starts.coldCalls.add(new Block.Pair(before, cold));
            starts.pauses.addAll(subject.pauses());
        }
    }

    private boolean isBaseKnown() {
        return known == env.plan().baseKnown();
    }

    private Block playColdCalls(HttpPool pool, MeasuredSidecar subject, long mix)
            throws IOException {
        return player.playBlock(
                pool, subject, env.plan().baseRate(), COLD_CALLS / env.plan().baseRate(), mix);
    }

    private String startKey() {
        return "start.known" + known + (fleet ? ".fleet_on" : "");
    }

    private void recordStarts(Starts starts) {
        String key = startKey();
        Estimate readySeconds = Estimate.of(starts.readySeconds);
        Estimate residentMb = Estimate.of(starts.residentMb);
        env.outcome()
                .add(key + ".ready", "s", known, readySeconds, "from the start of the process");
        env.outcome().add(key + ".rss", "MB", known, residentMb, "at the time when it is ready");
        env.reportProgress(
                "%s: ready after %s s, with %s MB", key, readySeconds.text(), residentMb.text());
    }

    private void recordColdCalls(Starts starts) {
        if (starts.coldCalls.isEmpty()) {
            return;
        }
        String key = "calls.cold.first" + COLD_CALLS + (fleet ? ".fleet_on" : "");
        Map<String, Estimate> values = AddedTimeFigures.added(starts.coldCalls);
        values.putAll(Causes.of(starts.coldCalls, starts.pauses, env.plan().targetMs()));
        // The sidecar was not there yet while these calls went without it.
        values.remove("cause.cpu.idle");
        recordFigures(key, values);
        reportAdded(key, values);
    }

    private void recordFigures(String key, Map<String, Estimate> values) {
        values.forEach(
                (name, value) ->
                        env.outcome()
                                .add(
                                        key + "." + name,
                                        Causes.unit(name),
                                        known,
                                        value,
                                        Causes.description(name)));
    }

    private void reportAdded(String key, Map<String, Estimate> values) {
        env.reportProgress(
                "%s: added p50 %s, p99 %s ms, %s ms of processor a call",
                key,
                AddedTimeFigures.text(values.get("added.p50")),
                AddedTimeFigures.text(values.get("added.p99")),
                values.get("cpu").text());
    }

    /** Records how many members the measured sidecar sees, where it is in a fleet. */
    private void recordMembers(ObjectNode config) {
        if (config.has("fleet")) {
            int present = AdminClient.present(config.get("management").asText());
            env.outcome()
                    .add(
                            "calls.known" + known + ".fleet_on.members",
                            "count",
                            known,
                            Estimate.of(List.of((double) present)),
                            "present, as the measured sidecar saw them");
            if (present != env.plan().members() + 1) {
                env.outcome()
                        .note(
                                String.format(
                                        Locale.ROOT,
                                        "known %d in a fleet: the sidecar saw %d members, and not"
                                            + " %d: the fleet's figures are not those of a whole"
                                            + " fleet",
                                        known,
                                        present,
                                        env.plan().members() + 1));
            }
        }
    }

    private void measureRates(BlockPlayer.Ways ways) throws IOException {
        double highestHeld = 0;
        String lastFailure = "";
        for (double rate : env.plan().ratesAt(known, fleet)) {
            String failure = measureRate(ways, rate);
            if (failure.isEmpty()) {
                highestHeld = Math.max(highestHeld, rate);
            } else {
                lastFailure = failure;
            }
        }
        boolean isBase = isBaseKnown() && fleet == env.plan().fleets().get(0);
        if (env.plan().knee() && isBase) {
            knee.measureKnee(known, fleet, ways, highestHeld, lastFailure);
        }
        env.outcome()
                .add(
                        startKey() + ".rss_loaded",
                        "MB",
                        known,
                        Estimate.of(List.of(ways.sidecars().get(0).residentMb())),
                        "after all calls");
    }

    /** Measures one rate; returns why it does not hold, or an empty text where it does. */
    private String measureRate(BlockPlayer.Ways ways, double rate) throws IOException {
        MeasuredSidecar subject = ways.sidecars().get(0);
        CallsOutcome.Phase phase = CallsOutcome.Phase.of(rate, known, fleet);
        List<Block.Pair> pairs = player.playPairs(ways, rate, phase.key());
        Map<String, Estimate> values = figures.quantiles(pairs, phase.key());
        values.putAll(Causes.of(pairs, subject.pauses(), env.plan().targetMs()));
        recordFigures(phase.key(), values);
        figures.recordCounts(phase.key(), known, pairs);
        env.outcome()
                .add(
                        phase,
                        values,
                        AddedTimeFigures.sum(pairs, true),
                        AddedTimeFigures.sum(pairs, false));
        reportAdded(phase.key(), values);
        List<String> pauses = Causes.pauseSummaries(pairs, subject.pauses());
        env.outcome()
                .note(
                        phase.key()
                                + ": safepoints of the sidecar: "
                                + (pauses.isEmpty() ? "none" : String.join(", ", pauses)));
        String failure =
                pairs.stream()
                        .map(knee::failureOf)
                        .flatMap(Optional::stream)
                        .findFirst()
                        .orElse("");
        if (!failure.isEmpty()) {
            env.reportProgress("%s does not hold: %s", phase.key(), failure);
        }
        return failure;
    }
}
