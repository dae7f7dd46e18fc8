package poppynotch.lab.measure;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import poppynotch.balancer.DeduplicationScope;
import poppynotch.balancer.Idempotency;
import poppynotch.balancer.ServerState;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.Experiment.RequestClass;
import poppynotch.lab.world.Answer;
import poppynotch.lab.world.Answer.Kind;
import poppynotch.lab.world.Call;
import poppynotch.lab.world.ModelServer;
import poppynotch.lab.world.Time;
import poppynotch.lab.world.WorldListener;

/**
 * Judges by the four rules, from what callers, model servers and discovery see. A broken rule names
 * request, model server and time.
 */
public final class RulesChecker implements WorldListener {

    /** The rules. */
    public enum Rule {
        /** A request that a sidecar has taken gets one true answer in time. */
        LOST,
        /**
         * What may have run is sent again only where the class allows it, and never twice at once.
         */
        DUPLICATED,
        /**
         * Nothing new goes to a model server some time after the news that it drains or is gone.
         */
        DRAINED,
        /** No cold model server is made to fall over by those who know that it is cold. */
        COLD,
        /** No sidecar ends by itself. */
        CRASHED
    }

    /** A broken rule: {@code request} or {@code model server} is empty where the rule has none. */
    public record Violation(Rule rule, String request, String nodo, double atMs, String why) {}

    /** So many of each rule are kept with their names; the rest is counted. */
    private static final int MAX_LISTED_PER_RULE = 20;

    /**
     * The end of an attempt may be seen so long after the start of the next one, on another
     * connection.
     */
    private static final double ORDER_SLACK_MS = 50;

    /**
     * The rule on cold model servers is broken where those who knew of the start sent this part.
     */
    private static final double MIN_INFORMED_FRACTION = 2.0 / 3;

    private static final class AttemptRecord {
        final ModelServer modelServer;
        final double startedAtMs;
        boolean inFlight = true;
        End end;

        AttemptRecord(ModelServer modelServer, double at) {
            this.modelServer = modelServer;
            this.startedAtMs = at;
        }
    }

    private final Experiment experiment;
    private final Time time;
    private final double slackMs;
    private final double observationDelayMs;
    private double startedAtMs;
    private final Map<String, List<AttemptRecord>> attempts = new HashMap<>();
    private final Set<Integer> stoppedSidecars = new HashSet<>();

    /** When each sidecar was told that a model server wants nothing new. */
    private final Map<Integer, Map<String, Double>> unavailableSinceBySidecar = new HashMap<>();

    private final List<Violation> violations = new ArrayList<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);

    /**
     * A checker for one day.
     *
     * @param slackMs after its deadline, an answer is late by more than this only if it is lost
     * @param sightMs how much later than it happened something may be seen here
     */
    public RulesChecker(Experiment experiment, Time time, double slackMs, double sightMs) {
        this.experiment = experiment;
        this.time = time;
        this.slackMs = slackMs;
        this.observationDelayMs = sightMs;
    }

    /** Times are told from here on. */
    public void begin(double now) {
        startedAtMs = now;
    }

    /** What was broken, in order; of each rule the first ones. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** How often each rule was broken. */
    public Map<Rule, Integer> counts() {
        return counts;
    }

    private void recordViolation(
            Rule rule, double now, String request, String modelServer, String why) {
        if (counts.merge(rule, 1, Integer::sum) <= MAX_LISTED_PER_RULE) {
            violations.add(new Violation(rule, request, modelServer, now - startedAtMs, why));
        }
    }

    private RequestClass classOf(Call call) {
        return experiment.world().classes().get(call.first.kind);
    }

    private List<AttemptRecord> attemptsThatMayHaveRun(Call call) {
        return attempts.getOrDefault(call.id, List.of()).stream()
                .filter(seen -> seen.end != End.TURNED_AWAY)
                .toList();
    }

    @Override
    public void onCallAnswered(double now, Call call, Answer answer) {
        boolean up = !stoppedSidecars.contains(call.sidecar);
        if (answer.kind() == Kind.BROKEN && call.taken && up) {
            recordViolation(
                    Rule.LOST,
                    now,
                    call.id,
                    "",
                    "sidecar " + call.sidecar + " closed the connection without an answer");
        } else if (answer.kind() == Kind.FALSE) {
            recordViolation(
                    Rule.LOST,
                    now,
                    call.id,
                    "",
                    "sidecar " + call.sidecar + " answered what no nodo made for it");
        } else if (answer.kind() == Kind.REFUSED) {
            boolean harmless =
                    classOf(call).effect() == Idempotency.REPEATABLE
                            || classOf(call).effect() == Idempotency.BY_KEY
                                    && classOf(call).group() == DeduplicationScope.ALL;
            List<AttemptRecord> ran = attemptsThatMayHaveRun(call);
            if (!harmless && !ran.isEmpty()) {
                recordViolation(
                        Rule.DUPLICATED,
                        now,
                        call.id,
                        ran.get(0).modelServer.id,
                        "was refused, though it may have run");
            }
        }
        attempts.remove(call.id);
    }

    @Override
    public void onCallAbandoned(double now, Call call) {
        if (call.taken
                && !stoppedSidecars.contains(call.sidecar)
                && now >= call.deadline + slackMs - 1e-6) {
            recordViolation(
                    Rule.LOST,
                    now,
                    call.id,
                    "",
                    "sidecar " + call.sidecar + " gave no answer in time");
        }
        attempts.remove(call.id);
    }

    @Override
    public void onAttemptArrived(double now, Call call, ModelServer modelServer, int attempt) {
        if (call.over) {
            // Sent before its end, and judged with that.
            return;
        }
        List<AttemptRecord> before = attempts.computeIfAbsent(call.id, id -> new ArrayList<>(2));
        RequestClass kind = classOf(call);
        AttemptRecord mine = new AttemptRecord(modelServer, now);
        for (AttemptRecord seen : before) {
            if (seen.inFlight) {
                time.after(
                        ORDER_SLACK_MS,
                        () -> {
                            if (seen.inFlight && mine.inFlight) {
                                recordViolation(
                                        Rule.DUPLICATED,
                                        now,
                                        call.id,
                                        modelServer.id,
                                        "was out at " + seen.modelServer.id + " at once");
                            }
                        });
            }
        }
        AttemptRecord ran =
                before.stream()
                        .filter(seen -> seen.end != End.TURNED_AWAY)
                        .findFirst()
                        .orElse(null);
        if (ran != null && kind.effect() == Idempotency.ONCE) {
            recordViolation(
                    Rule.DUPLICATED,
                    now,
                    call.id,
                    modelServer.id,
                    "may have run at " + ran.modelServer.id);
        } else if (ran != null && kind.effect() == Idempotency.BY_KEY) {
            boolean sameGroup =
                    switch (kind.group()) {
                        case ALL -> true;
                        case ZONE -> ran.modelServer.zone == modelServer.zone;
                        case CELL -> ran.modelServer.cell == modelServer.cell;
                    };
            if (!sameGroup || now - ran.startedAtMs > kind.windowMs() + observationDelayMs) {
                recordViolation(
                        Rule.DUPLICATED,
                        now,
                        call.id,
                        modelServer.id,
                        sameGroup
                                ? "came after the window from " + ran.modelServer.id
                                : "may have run in another group, at " + ran.modelServer.id);
            }
        }
        before.add(mine);
    }

    @Override
    public void ended(
            double now, Call call, ModelServer modelServer, int attempt, End end, boolean began) {
        List<AttemptRecord> all = attempts.get(call.id);
        if (all != null) {
            all.stream()
                    .filter(seen -> seen.inFlight && seen.modelServer == modelServer)
                    .findFirst()
                    .ifPresent(
                            seen -> {
                                seen.inFlight = false;
                                seen.end = end;
                            });
        }
    }

    @Override
    public void sent(double now, Call call, ModelServer modelServer) {
        Double notifiedAtMs =
                unavailableSinceBySidecar.getOrDefault(call.sidecar, Map.of()).get(modelServer.id);
        if (notifiedAtMs != null
                && now
                        > notifiedAtMs
                                + experiment.world().rules().drainGraceMs()
                                + observationDelayMs) {
            recordViolation(
                    Rule.DRAINED,
                    now,
                    call.id,
                    modelServer.id,
                    "was sent by sidecar "
                            + call.sidecar
                            + ", told "
                            + Math.round(now - notifiedAtMs)
                            + " ms before");
        }
    }

    @Override
    public void onServerStateDelivered(
            double now, int sidecar, String modelServer, ServerState state, double startedMs) {
        Map<String, Double> own =
                unavailableSinceBySidecar.computeIfAbsent(sidecar, number -> new HashMap<>());
        if (state == ServerState.READY) {
            own.remove(modelServer);
        } else {
            own.putIfAbsent(modelServer, now);
        }
    }

    @Override
    public void sidecar(double now, int sidecar, boolean up) {
        if (up) {
            stoppedSidecars.remove(sidecar);
        } else {
            stoppedSidecars.add(sidecar);
            unavailableSinceBySidecar.remove(sidecar);
        }
    }

    @Override
    public void onServerCollapsed(double now, ModelServer modelServer, double byInformed) {
        if (byInformed >= MIN_INFORMED_FRACTION) {
            recordViolation(
                    Rule.COLD,
                    now,
                    "",
                    modelServer.id,
                    "fell over; "
                            + Math.round(100 * byInformed)
                            + " % of its load was from sidecars that knew of its start");
        }
    }

    @Override
    public void crashed(double now, int sidecar, String how) {
        recordViolation(Rule.CRASHED, now, "", "", "sidecar " + sidecar + " " + how);
    }
}
