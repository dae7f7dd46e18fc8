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
import poppynotch.lab.world.SimulationClock;
import poppynotch.lab.world.WorldListener;

/**
 * Checks a day against the rules, from what callers, model servers and discovery observe, and lists
 * violations with request, model server and time.
 *
 * <p>Registered as a listener of one simulated day and called on its thread.
 */
public final class RulesChecker implements WorldListener {

    /** The rules. */
    public enum Rule {
        /** A request that a sidecar has accepted gets one true answer in time. */
        LOST,
        /**
         * A request that may have run is retried only where the class allows it, and never
         * concurrently.
         */
        DUPLICATED,
        /**
         * No new request goes to a server some time after the sidecar learned that it drains or is
         * gone.
         */
        DRAINED,
        /** No server collapses while warming up through sidecars that know of its start. */
        COLD,
        /** No sidecar ends by itself. */
        CRASHED
    }

    /**
     * A violation of a rule: {@code request} or {@code nodo}, the id of a model server, is empty if
     * the rule has none. The names of the components are keys of the result's JSON.
     */
    public record Violation(Rule rule, String request, String nodo, double atMs, String why) {}

    /** Violations of a rule that are listed; further ones are only counted. */
    private static final int MAX_LISTED_PER_RULE = 20;

    /**
     * The end of an attempt may be observed this long after the start of the next one, which is on
     * another connection.
     */
    private static final double ORDER_SLACK_MS = 50;

    /** A collapse is a violation if informed sidecars sent at least this fraction of the work. */
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
    private final SimulationClock time;
    private final double slackMs;
    private final double observationDelayMs;
    private double startedAtMs;
    private final Map<String, List<AttemptRecord>> attempts = new HashMap<>();
    private final Set<Integer> stoppedSidecars = new HashSet<>();

    /** By sidecar and server: when the sidecar learned that the server drains or is gone. */
    private final Map<Integer, Map<String, Double>> unavailableSinceBySidecar = new HashMap<>();

    private final List<Violation> violations = new ArrayList<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);

    /**
     * A checker for one day.
     *
     * @param slackMs after its deadline, an answer is late by more than this only if it is lost
     * @param observationDelayMs how much later than it happened something may be observed here
     */
    public RulesChecker(
            Experiment experiment,
            SimulationClock time,
            double slackMs,
            double observationDelayMs) {
        this.experiment = experiment;
        this.time = time;
        this.slackMs = slackMs;
        this.observationDelayMs = observationDelayMs;
    }

    /** Starts the day: violations' times count from this time. */
    public void start(double now) {
        startedAtMs = now;
    }

    /** The first violations of each rule, in order. */
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
        return experiment.world().classes().get(call.clientRequest.classIndex);
    }

    private List<AttemptRecord> attemptsThatMayHaveRun(Call call) {
        return attempts.getOrDefault(call.id, List.of()).stream()
                .filter(seen -> seen.end != End.TURNED_AWAY)
                .toList();
    }

    @Override
    public void onCallAnswered(double now, Call call, Answer answer) {
        boolean up = !stoppedSidecars.contains(call.sidecar);
        if (answer.kind() == Kind.BROKEN && call.accepted && up) {
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
                    classOf(call).idempotency() == Idempotency.REPEATABLE
                            || (classOf(call).idempotency() == Idempotency.BY_KEY
                                    && classOf(call).deduplicationScope()
                                            == DeduplicationScope.ALL);
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
        if (call.accepted
                && !stoppedSidecars.contains(call.sidecar)
                && now >= call.deadlineMs + slackMs - 1e-6) {
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
        if (call.completed) {
            // Sent before the call was completed, which was checked then.
            return;
        }
        List<AttemptRecord> before = attempts.computeIfAbsent(call.id, id -> new ArrayList<>(2));
        AttemptRecord mine = new AttemptRecord(modelServer, now);
        for (AttemptRecord earlier : before) {
            if (earlier.inFlight) {
                time.schedule(ORDER_SLACK_MS, () -> checkNotConcurrent(now, call, earlier, mine));
            }
        }
        before.stream()
                .filter(earlier -> earlier.end != End.TURNED_AWAY)
                .findFirst()
                .ifPresent(ran -> checkMayRunAgain(now, call, ran, modelServer));
        before.add(mine);
    }

    private void checkNotConcurrent(
            double now, Call call, AttemptRecord earlier, AttemptRecord later) {
        if (earlier.inFlight && later.inFlight) {
            recordViolation(
                    Rule.DUPLICATED,
                    now,
                    call.id,
                    later.modelServer.id,
                    "was out at " + earlier.modelServer.id + " at once");
        }
    }

    private void checkMayRunAgain(
            double now, Call call, AttemptRecord ran, ModelServer modelServer) {
        RequestClass kind = classOf(call);
        if (kind.idempotency() == Idempotency.ONCE) {
            recordViolation(
                    Rule.DUPLICATED,
                    now,
                    call.id,
                    modelServer.id,
                    "may have run at " + ran.modelServer.id);
        } else if (kind.idempotency() == Idempotency.BY_KEY) {
            boolean sameGroup =
                    switch (kind.deduplicationScope()) {
                        case ALL -> true;
                        case ZONE -> ran.modelServer.zone == modelServer.zone;
                        case CELL -> ran.modelServer.cell == modelServer.cell;
                    };
            if (!sameGroup
                    || now - ran.startedAtMs > kind.deduplicationWindowMs() + observationDelayMs) {
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
    }

    @Override
    public void onAttemptEnded(
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
    public void onAttemptSent(double now, Call call, ModelServer modelServer) {
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
    public void onSidecarStateChanged(double now, int sidecar, boolean up) {
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
    public void onSidecarCrashed(double now, int sidecar, String how) {
        recordViolation(Rule.CRASHED, now, "", "", "sidecar " + sidecar + " " + how);
    }
}
