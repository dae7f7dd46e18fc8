package poppynotch.fleet.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Takes a release from stage to stage by what processes report, halts it and goes back. It does no
 * I/O and is told the time. What it has done is in the {@link RolloutStage} that the whole fleet
 * holds: a conductor that takes over goes on from there, with the evidence gathered anew.
 */
public final class RolloutController {

    /**
     * It tells the fleet this often where nothing changes, so that the last word is known to be
     * fresh.
     */
    private static final double TELL_MS = 1000;

    /** A process whose last report is older no longer counts as heard. */
    private static final double HEARD_MS = 6000;

    /** A stage ends only while this part of the processes that serve is heard. */
    private static final double MOST_UNHEARD = 0.5;

    /** Reports are judged in blocks of this length. */
    private static final double BLOCK_MS = 1000;

    /**
     * A release of more blocks than this has a somewhat higher chance of a false alarm than
     * planned.
     */
    private static final int BLOCKS = 3600;

    private record Heard(long run, CanaryMetrics tally, double atMs) {}

    private final RolloutPlan plan;
    private final long token;
    private final Consumer<RolloutStage> tell;
    private final Consumer<String> log;
    private final CanaryAnalysis failures;
    private final CanaryAnalysis slow;
    private final Map<String, Heard> heard = new HashMap<>();

    /** By zone: what was reported since the last block ended. */
    private final Map<String, CanaryMetrics> block = new TreeMap<>();

    private RolloutStage stage;
    private double sinceMs;
    private double toldMs;
    private double blockMs;
    private long freshCalls;
    private long refused;

    /**
     * Begins, or goes on.
     *
     * @param token under which it may conduct; higher than that of any conductor before
     * @param last what the fleet holds of a release, or null
     * @param tell takes each stage to the fleet
     * @param log takes a line for each decision
     */
    public RolloutController(
            double now,
            RolloutPlan plan,
            long token,
            RolloutStage last,
            Consumer<RolloutStage> tell,
            Consumer<String> log) {
        this.plan = plan;
        this.token = token;
        this.tell = tell;
        this.log = log;
        // Two judges: each may take half of the chance.
        failures = new CanaryAnalysis(plan.failures(), plan.falseAlarm() / 2, BLOCKS);
        slow = new CanaryAnalysis(plan.slow(), plan.falseAlarm() / 2, BLOCKS);
        blockMs = now;
        sinceMs = now;
        boolean goesOn = last != null && last.release().equals(plan.name());
        stage =
                goesOn
                        ? last
                        : new RolloutStage(
                                plan.name(),
                                plan.kind(),
                                plan.ids(),
                                RolloutStage.Phase.RUNNING,
                                0,
                                plan.stages().get(0),
                                token,
                                0,
                                "begun");
        put(
                now,
                stage.phase(),
                Math.min(stage.number(), plan.stages().size() - 1),
                stage.part(),
                goesOn ? "taken over" : "begun");
    }

    private void put(double now, RolloutStage.Phase phase, int number, double part, String why) {
        boolean news = stage.phase() != phase || stage.part() != part || !why.equals(stage.why());
        String words =
                why.length() > RolloutStage.LONGEST_WHY
                        ? why.substring(0, RolloutStage.LONGEST_WHY)
                        : why;
        stage =
                new RolloutStage(
                        plan.name(),
                        plan.kind(),
                        plan.ids(),
                        phase,
                        number,
                        part,
                        token,
                        stage.token() == token ? stage.step() + 1 : 1,
                        words);
        toldMs = now;
        tell.accept(stage);
        if (news) {
            log.accept(
                    "release "
                            + plan.name()
                            + ": "
                            + phase.name().toLowerCase(java.util.Locale.ROOT)
                            + ", stage "
                            + number
                            + ", part "
                            + part
                            + ", token "
                            + token
                            + ": "
                            + why);
        }
    }

    /** What was told last. */
    public RolloutStage stage() {
        return stage;
    }

    /**
     * A process reports.
     *
     * @param zone where it stands
     * @param run which process of that name: another one counts from nothing
     * @param tally since its start
     */
    public void report(double now, String member, String zone, long run, CanaryMetrics tally) {
        Heard before = heard.get(member);
        CanaryMetrics since =
                before == null || before.run() != run ? CanaryMetrics.NONE : before.tally();
        if (!tally.follows(since)) {
            refused++;
            return;
        }
        if (before != null && before.run() == run) {
            // The first report of a process may count calls of long before.
            block.merge(zone, tally.minus(since), CanaryMetrics::plus);
        }
        heard.put(member, new Heard(run, tally, now));
    }

    /** Decides; called every 100 ms or so. {@code serving} is how many processes serve now. */
    public void advance(double now, int serving) {
        if (now >= blockMs + BLOCK_MS) {
            blockMs = now;
            block.values()
                    .forEach(
                            tally -> {
                                failures.block(tally.calls(), tally.failed());
                                slow.block(tally.calls(), tally.slow());
                                freshCalls += tally.calls().fresh();
                            });
            block.clear();
        }
        if (stage.phase() == RolloutStage.Phase.RUNNING) {
            decide(now, serving);
        }
        if (now >= toldMs + TELL_MS) {
            put(now, stage.phase(), stage.number(), stage.part(), stage.why());
        }
    }

    private void decide(double now, int serving) {
        if (failures.isBad() || slow.isBad()) {
            String why =
                    failures.isBad()
                            ? "calls fail: " + failures.counted()
                            : "answers are slow: " + slow.counted();
            put(
                    now,
                    plan.back() ? RolloutStage.Phase.BACK : RolloutStage.Phase.HALTED,
                    stage.number(),
                    plan.back() ? 0 : stage.part(),
                    why);
            return;
        }
        long fresh = heard.values().stream().filter(each -> now - each.atMs() <= HEARD_MS).count();
        boolean known = freshCalls >= plan.calls() && fresh >= serving * MOST_UNHEARD;
        if (now < sinceMs + plan.bakeMs() || !known) {
            return;
        }
        sinceMs = now;
        freshCalls = 0;
        int next = stage.number() + 1;
        if (next < plan.stages().size()) {
            put(
                    now,
                    RolloutStage.Phase.RUNNING,
                    next,
                    plan.stages().get(next),
                    "baked: " + failures.counted());
        } else {
            put(now, RolloutStage.Phase.DONE, stage.number(), 1, "all stages baked");
        }
    }

    /** Stays at this stage until told otherwise. */
    public String halt(double now) {
        return change(
                now, RolloutStage.Phase.RUNNING, RolloutStage.Phase.HALTED, "operators said halt");
    }

    /** Goes on; what was judged bad does not. */
    public String resume(double now) {
        if (failures.isBad() || slow.isBad()) {
            return "this version was judged bad; a release of another name can try it again";
        }
        sinceMs = now;
        return change(
                now,
                RolloutStage.Phase.HALTED,
                RolloutStage.Phase.RUNNING,
                "operators said resume");
    }

    /** The new version gets nothing any more; said again, or beside a halt, it is the same. */
    public String back(double now) {
        if (stage.phase() != RolloutStage.Phase.BACK) {
            put(now, RolloutStage.Phase.BACK, stage.number(), 0, "operators said back");
        }
        return null;
    }

    private String change(double now, RolloutStage.Phase from, RolloutStage.Phase to, String why) {
        if (stage.phase() == to) {
            return null;
        }
        if (stage.phase() != from) {
            return "the release is " + stage.phase().name().toLowerCase(java.util.Locale.ROOT);
        }
        put(now, to, stage.number(), stage.part(), why);
        return null;
    }

    /** For operators: the stage, how sure it is, who is heard. */
    public Map<String, Object> status(double now, int serving) {
        Map<String, Object> status = new TreeMap<>();
        status.put("release", plan.name());
        status.put("phase", stage.phase().name().toLowerCase(java.util.Locale.ROOT));
        status.put("stage", stage.number());
        status.put("part", stage.part());
        status.put("why", stage.why());
        status.put("token", token);
        status.put("failures", failures.counted());
        status.put("slow", slow.counted());
        status.put("evidence", Math.max(failures.evidence(), slow.evidence()));
        status.put("calls_this_stage", freshCalls);
        status.put("calls_wanted", plan.calls());
        status.put("baked_ms", (long) (now - sinceMs));
        status.put(
                "heard",
                heard.values().stream().filter(each -> now - each.atMs() <= HEARD_MS).count());
        status.put("serving", serving);
        status.put("refused", refused);
        return status;
    }
}
